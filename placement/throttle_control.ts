/**
 * Throttles filler tasks while they slow down serving tasks on the same worker.
 * Fillers use processor time that other tasks leave unused; serving tasks have a
 * latency target.
 */
import type { InterferenceModel } from '../interference/interference_model';
import type { PlacementState, RecordedRun } from './placement_state';
import { observedRuns } from './straggler_detection';
import type { SessionRun } from './session_run';
import type { WorkerSession } from './worker_session';

/** Fillers are slowed down once the tail latency of a serving task exceeds this fraction of its target. */
const SLOW_DOWN_ABOVE_PRESSURE = 0.85;

/** Fillers are sped up again below this fraction of the target. */
const SPEED_UP_BELOW_PRESSURE = 0.6;

/**
 * Fillers slow down by this factor, faster than they speed up: users of a serving task
 * notice a missed latency target, and a filler only ends later.
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
export function throttleFillers(
  session: WorkerSession,
  state: PlacementState,
  model: InterferenceModel,
): boolean {
  const runs = observedRuns(session, state);
  const fillers = runs.filter(([run]) => run.record.step(run.task.step).isFiller);
  const serving = runs.filter(([run]) => run.record.step(run.task.step).targetMs !== null);
  if (fillers.length === 0 || serving.length === 0) {
    for (const [{ task, run }, { speedPercent }] of fillers)
      if (speedPercent !== 100) session.throttle(task, run, 100);
    return false;
  }
  const pressure = Math.max(...serving.map(latencyPressure));
  const slowed = isNearTarget(pressure) ? mostDisturbing(fillers, serving, model) : null;
  for (const filler of slowed === null ? fillers : [slowed]) {
    const [{ task, run }, { speedPercent }] = filler;
    session.throttle(task, run, nextSpeedPercent(speedPercent, pressure));
  }
  return true;
}

/** Above the target all fillers are slowed down at once, since their tasks would count as harmed soon. */
function isNearTarget(pressure: number): boolean {
  return pressure > SLOW_DOWN_ABOVE_PRESSURE && pressure <= 1;
}

/**
 * The running filler that raises the tail latency of the serving tasks near their target
 * most; `null` if no filler is known to disturb them.
 */
function mostDisturbing(
  fillers: readonly ObservedRun[],
  serving: readonly ObservedRun[],
  model: InterferenceModel,
): ObservedRun | null {
  if (!model.hasDisturbingPairs()) return null;
  const pressed = serving.filter((one) => isNearTarget(latencyPressure(one))).map(imageOf);
  let most: ObservedRun | null = null;
  let mostRise = 0;
  for (const filler of fillers) {
    const [{ record, task }, { phase, load, speedPercent }] = filler;
    if (phase !== 'running' || speedPercent === 0) continue;
    const processors = load ?? record.step(task.step).demand.processors;
    const rise = Math.max(...pressed.map((image) => model.disturbance(imageOf(filler), image))) * processors;
    if (rise > mostRise) [most, mostRise] = [filler, rise];
  }
  return most;
}

function imageOf([{ record, task }]: ObservedRun): string {
  return record.step(task.step).image;
}

/** Tail latency of a serving task as a fraction of its target. */
function latencyPressure([{ record, task }, { load }]: ObservedRun): number {
  const { targetMs } = record.step(task.step);
  return targetMs === null || load === null ? 0 : load / targetMs;
}
