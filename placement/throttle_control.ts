/** Slows tasks that fill a worker down while they disturb the tasks that serve beside them. */
import type { PlacementState, RecordedRun } from './placement_state';
import { observedRuns } from './straggler_detection';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** Fillers are slowed once a serving task's tail exceeds this part of its target. */
const SLOW_ABOVE_PRESSURE = 0.85;

/** Fillers are sped up again below this part of the target. */
const SPEED_UP_BELOW_PRESSURE = 0.6;

/** Factor and step by which the pace changes: fast down, slowly up, since a tail over its target costs four times as much. */
const SLOW_FACTOR = 0.4;
const SPEED_UP_STEP_PERCENT = 15;

/** A pace below this is set to 0, in percent. */
const MIN_SPEED_PERCENT = 10;

type ObservedRun = readonly [RecordedRun, SessionRun];

/**
 * The pace that fillers should have next to serving tasks under this pressure.
 *
 * @example
 * ```ts
 * nextSpeedPercent(100, 1.2); // 40
 * ```
 */
export function nextSpeedPercent(percent: number, pressure: number): number {
  const known = percent < 0 ? 0 : percent;
  if (pressure > SLOW_ABOVE_PRESSURE) {
    const slower = Math.floor(known * SLOW_FACTOR);
    return slower < MIN_SPEED_PERCENT ? 0 : slower;
  }
  if (pressure < SPEED_UP_BELOW_PRESSURE) return Math.min(100, known + SPEED_UP_STEP_PERCENT);
  return known;
}

/** Sets the pace of the fillers on one worker after a look at its load. Returns whether it has to be watched closely. */
export function throttleFillers(session: WorkerSession, state: PlacementState): boolean {
  const runs = observedRuns(session, state);
  const fillers = runs.filter(([run]) => run.record.step(run.task.step).isFiller);
  const serving = runs.filter(([run]) => run.record.step(run.task.step).targetMs !== null);
  if (fillers.length === 0 || serving.length === 0) {
    for (const [{ task, run }, { speedPercent: pace }] of fillers)
      if (pace !== 100) session.throttle(task, run, 100);
    return false;
  }
  const pressure = Math.max(...serving.map(latencyPressure));
  for (const [{ task, run }, { speedPercent: pace }] of fillers)
    session.throttle(task, run, nextSpeedPercent(pace, pressure));
  return true;
}

/** A serving task's tail as a part of its target. */
function latencyPressure([{ record, task }, { load }]: ObservedRun): number {
  const { targetMs } = record.step(task.step);
  return targetMs === null || load === null ? 0 : load / targetMs;
}
