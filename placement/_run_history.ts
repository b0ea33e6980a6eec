/** Checks what fake workers have run against the rule that a task runs once. */
import type { FakeRunEvent, FakeWorker } from './_fake_worker_gateway';
import { taskKey } from '../scheduling/job_definition';

interface TaskEvent extends FakeRunEvent {
  readonly worker: FakeWorker;
}

/** Starts of tasks of which a run had ended as done, if the leader was told of that end. */
export function startsAfterDone(workers: readonly FakeWorker[]): readonly string[] {
  const violations: string[] = [];
  for (const [key, events] of eventsByTask(workers)) {
    const done = events.filter(
      ({ kind, endNumber, worker }) => kind === 'done' && endNumber <= worker.acknowledgedEndNumber,
    );
    for (const { kind, atMs, run } of events)
      if (kind === 'started' && done.some((end) => end.atMs < atMs))
        violations.push(`${key} starts as run ${run} at ${atMs} ms after it was done`);
  }
  return violations;
}

/** Tasks with more than one run under a valid lease on workers that are up. */
export function tasksWithTwoRuns(workers: readonly FakeWorker[]): readonly string[] {
  const counts = new Map<string, number>();
  for (const worker of workers)
    if (worker.isReachable && worker.hasRunUnderLease())
      for (const { task } of worker.runs.values()) {
        const key = `${task.jobId}.${taskKey(task)}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
  return [...counts].flatMap(([key, count]) => (count > 1 ? [key] : []));
}

function eventsByTask(workers: readonly FakeWorker[]): ReadonlyMap<string, readonly TaskEvent[]> {
  const byTask = new Map<string, TaskEvent[]>();
  for (const worker of workers)
    for (const event of worker.history) {
      const key = `${event.task.jobId}.${taskKey(event.task)}`;
      byTask.set(key, [...(byTask.get(key) ?? []), { ...event, worker }]);
    }
  return byTask;
}
