/** Slows tasks that fill a worker down while they disturb the tasks that serve beside them. */
import type { PlacementState, RecordedRun } from './placement_state';
import { seenRuns } from './run_supervisor';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** Fillers are slowed once a serving task's tail exceeds this part of its target. */
const SLOW_ABOVE = 0.85;

/** Fillers are sped up again below this part of the target. */
const SPEED_BELOW = 0.6;

/** Factor and step by which the pace changes: fast down, slowly up, since a tail over its target costs four times as much. */
const SLOW_FACTOR = 0.4;
const SPEED_STEP_PERCENT = 15;

/** A pace below this is set to 0, in percent. */
const MIN_PACE_PERCENT = 10;

type SeenRun = readonly [RecordedRun, SessionRun];

/**
 * The pace that fillers should have next to serving tasks under this pressure.
 *
 * @example
 * ```ts
 * nextPace(100, 1.2); // 40
 * ```
 */
export function nextPace(percent: number, pressure: number): number {
  const known = percent < 0 ? 0 : percent;
  if (pressure > SLOW_ABOVE) {
    const slower = Math.floor(known * SLOW_FACTOR);
    return slower < MIN_PACE_PERCENT ? 0 : slower;
  }
  if (pressure < SPEED_BELOW) return Math.min(100, known + SPEED_STEP_PERCENT);
  return known;
}

/** Sets the pace of the fillers on one worker after a look at its load. Returns whether it has to be watched closely. */
export function controlPace(session: WorkerSession, state: PlacementState): boolean {
  const runs = seenRuns(session, state);
  const fillers = runs.filter(([run]) => run.record.step(run.task.step).isFiller);
  const serving = runs.filter(([run]) => run.record.step(run.task.step).targetMs !== null);
  if (fillers.length === 0 || serving.length === 0) {
    for (const [{ task, run }, { pace }] of fillers) if (pace !== 100) session.pace(task, run, 100);
    return false;
  }
  const pressure = Math.max(...serving.map(pressureOf));
  for (const [{ task, run }, { pace }] of fillers) session.pace(task, run, nextPace(pace, pressure));
  return true;
}

/** A serving task's tail as a part of its target. */
function pressureOf([{ record, task }, { load }]: SeenRun): number {
  const { targetMs } = record.step(task.step);
  return targetMs === null || load === null ? 0 : load / targetMs;
}
