/** Guards against wrong job states, steps that start too early, and failures that are counted wrongly. */
import { QUEUE, STEP } from '../placement/_placement_harness';
import type { JobDefinition, StepDefinition, TaskId } from './job_definition';
import { JobRecord } from './job_record';
import { decodeProgress, encodeProgress } from './job_rows';

const JOB_ID = '00000000000000aa';

function record(steps: readonly StepDefinition[], fields: Partial<JobDefinition> = {}): JobRecord {
  const definition = { spec: '', steps, repeat: null, ...fields };
  const job = { jobId: JOB_ID, queueId: QUEUE.queueId, teamId: null, acceptedAtMs: 0, definition };
  return new JobRecord({ job, maxAttempts: () => 2 });
}

function task(step: number, index = 0, occurrence = 0): TaskId {
  return { jobId: JOB_ID, occurrence, step, index };
}

function runAndEnd(job: JobRecord, id: TaskId, kind: 'done' | 'failed' | 'lost', checkpoint = ''): void {
  const run = job.nextRun([id]);
  job.addRun(id, { run, workerId: 'w', workerStartedAtMs: 1 });
  job.endRun({ task: id, run, workerId: 'w', outcome: kind, checkpoint });
}

describe('JobRecord', () => {
  test('a step waits until all tasks of the steps before it are done', () => {
    const job = record([
      { ...STEP, taskCount: 2 },
      { ...STEP, after: [0] },
    ]);
    runAndEnd(job, task(0, 0), 'done');
    expect(job.readySteps(0).map(({ step }) => step)).toEqual([0]);
    runAndEnd(job, task(0, 1), 'done');
    expect(job.readySteps(0).map(({ step }) => step)).toEqual([1]);
    runAndEnd(job, task(1), 'done');
    expect(job.state).toBe('completed');
  });

  test('only failed runs count as attempts', () => {
    const job = record([STEP]);
    for (let count = 0; count < 5; count += 1) runAndEnd(job, task(0), 'lost');
    runAndEnd(job, task(0), 'failed');
    expect(job.state).toBe('running');
    runAndEnd(job, task(0), 'failed');
    expect(job.state).toBe('failed');
  });

  test('long-running tasks start again however often they fail', () => {
    const job = record([{ ...STEP, isLongRunning: true }]);
    for (let count = 0; count < 5; count += 1) runAndEnd(job, task(0), 'failed');
    expect(job.state).toBe('running');
    expect(job.readySteps(0)).toHaveLength(1);
  });

  test('a result is applied once, and not if it comes from another worker', () => {
    const job = record([STEP]);
    job.addRun(task(0), { run: 1, workerId: 'w', workerStartedAtMs: 1 });
    const result = { task: task(0), run: 1, outcome: 'done', checkpoint: '' } as const;
    expect(job.endRun({ ...result, workerId: 'other' })).toBe(false);
    expect(job.endRun({ ...result, workerId: 'w' })).toBe(true);
    expect(job.endRun({ ...result, workerId: 'w' })).toBe(false);
  });

  test('one done member completes a gang, and a failure of a gang counts once', () => {
    const job = record([{ ...STEP, taskCount: 2, isGang: true }]);
    const members = [task(0, 0), task(0, 1)];
    for (const member of members) job.addRun(member, { run: 1, workerId: 'w', workerStartedAtMs: 1 });
    for (const member of members) {
      job.endRun({ task: member, run: 1, workerId: 'w', outcome: 'failed', checkpoint: '' });
    }
    expect(job.state).toBe('running');
    for (const member of members) job.addRun(member, { run: 2, workerId: 'w', workerStartedAtMs: 1 });
    job.endRun({ task: task(0, 1), run: 2, workerId: 'w', outcome: 'done', checkpoint: '' });
    expect(job.state).toBe('completed');
  });

  test('a checkpoint is kept for the next run and shared by a gang', () => {
    const job = record([{ ...STEP, taskCount: 2, isGang: true, savesProgress: true }]);
    job.saveCheckpoint(task(0, 1), 'abc');
    expect(job.checkpointOf(task(0, 0))).toBe('abc');
  });

  test('occurrences start when they are due, and may overlap', () => {
    const job = record([STEP], { repeat: { count: 3, firstMs: 1_000, intervalMs: 500 } });
    expect(job.readySteps(999)).toEqual([]);
    expect(job.readySteps(1_500).map(({ occurrence }) => occurrence)).toEqual([0, 1]);
    expect(job.nextDueAtMs(1_500)).toBe(2_000);
    for (const occurrence of [0, 1, 2]) runAndEnd(job, task(0, 0, occurrence), 'done');
    expect(job.state).toBe('completed');
  });

  test('progress that a successor reads back is unchanged', () => {
    const job = record([{ ...STEP, taskCount: 3, savesProgress: true }]);
    runAndEnd(job, task(0, 0), 'done');
    runAndEnd(job, task(0, 1), 'failed', 'saved');
    job.addRun(task(0, 2), { run: 7, workerId: 'w', workerStartedAtMs: 5 });
    expect(decodeProgress(encodeProgress(job.progress))).toEqual({
      ...job.progress,
      tasks: new Map(job.progress.tasks),
    });
    const successor = new JobRecord({
      job: job.job,
      progress: decodeProgress(encodeProgress(job.progress)),
      maxAttempts: () => 2,
    });
    expect(successor.runs()).toEqual(job.runs());
    expect(successor.readySteps(0)).toEqual(job.readySteps(0));
  });
});
