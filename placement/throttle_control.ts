/**
 * Throttles filler tasks while they slow down serving tasks on the same worker.
 * Fillers use processor time that other tasks leave unused; serving tasks have a
 * latency target.
 */
import type { PlacementState, RecordedRun } from './placement_state';
import { observedRuns } from './straggler_detection';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** Fillers are slowed down once the tail latency of a serving task exceeds this fraction of its target. */
const SLOW_DOWN_ABOVE_PRESSURE = 0.85;

/** Fillers are sped up again below this fraction of the target. */
const SPEED_UP_BELOW_PRESSURE = 0.6;

/**
 * Fillers slow down by this factor, faster than they speed up, since a missed latency
 * target costs four times as much.
 */
const SLOW_DOWN_FACTOR = 0.4;
/** Fillers speed up by this step. */
const SPEED_UP_STEP_PERCENT = 15;

/** A speed below this is set to 0, in percent. */
const MIN_SPEED_PERCENT = 10;

type ObservedRun = readonly [RecordedRun, SessionRun];

/**
 * The next speed of a filler beside serving tasks under this pressure, in
 * percent. A negative `speedPercent` stands for an unknown speed.
 *
 * @example
 * ```ts
 * nextSpeedPercent(100, 1.2); // 40
 * ```
 */
export function nextSpeedPercent(speedPercent: number, pressure: number): number {
  const current = speedPercent < 0 ? 0 : speedPercent;
  if (pressure > SLOW_DOWN_ABOVE_PRESSURE) {
    const slower = Math.floor(current * SLOW_DOWN_FACTOR);
    return slower < MIN_SPEED_PERCENT ? 0 : slower;
  }
  if (pressure < SPEED_UP_BELOW_PRESSURE) return Math.min(100, current + SPEED_UP_STEP_PERCENT);
  return current;
}

/**
 * Sets the speed of the fillers on one worker from its latest load. Returns whether the
 * load must be polled frequently.
 */
export function throttleFillers(session: WorkerSession, state: PlacementState): boolean {
  const runs = observedRuns(session, state);
  const fillers = runs.filter(([run]) => run.record.step(run.task.step).isFiller);
  const serving = runs.filter(([run]) => run.record.step(run.task.step).targetMs !== null);
  if (fillers.length === 0 || serving.length === 0) {
    for (const [{ task, run }, { speedPercent }] of fillers)
      if (speedPercent !== 100) session.throttle(task, run, 100);
    return false;
  }
  const pressure = Math.max(...serving.map(latencyPressure));
  for (const [{ task, run }, { speedPercent }] of fillers)
    session.throttle(task, run, nextSpeedPercent(speedPercent, pressure));
  return true;
}

/** Tail latency of a serving task as a fraction of its target. */
function latencyPressure([{ record, task }, { load }]: ObservedRun): number {
  const { targetMs } = record.step(task.step);
  return targetMs === null || load === null ? 0 : load / targetMs;
}
