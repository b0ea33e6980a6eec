/** Decides which instances of a maintenance wave are drained and which ones are maintained now. */

/** An instance that still has to be maintained. */
export interface WaveInstance {
  readonly instanceId: string;
  readonly isUp: boolean;
  /** Whether its pool has enough instances without it. */
  readonly isDispensable: boolean;
  readonly runCount: number;
  readonly hasLongRunningTasks: boolean;
  /** Whether it already takes no new tasks, because of this wave or a move. */
  readonly isDraining: boolean;
}

export interface WaveRequest {
  readonly remaining: readonly WaveInstance[];
  /**
   * Number of instances of the wave that are down for maintenance, or may be because
   * the outcome of a command is unknown.
   */
  readonly downCount: number;
  readonly maxConcurrent: number;
  /** Time until the wave should be completed, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time that the operator has given the wave, in milliseconds. */
  readonly timeLimitMs: number;
  /** Expected time for which one instance is unavailable, draining included, in milliseconds. */
  readonly expectedDownMs: number;
}

export interface WaveActions {
  /** Instances to maintain now; they run nothing. */
  readonly maintain: readonly string[];
  /** Instances that take no new tasks from now on. */
  readonly drain: readonly string[];
}

/**
 * Once the time left is at most this multiple of the wave's minimum duration, instances
 * that their pools need are drained and maintained as well.
 */
const URGENCY_FACTOR = 2;

/**
 * Once at most this fraction of the time limit is left, instances with long-running tasks
 * are drained. These tasks leave an instance a few at a time, as their steps' limits of
 * unavailable tasks allow, and never by themselves.
 */
const EVACUATE_BELOW_FRACTION = 0.6;

/**
 * Selects idle instances that are draining or that their pools can do without.
 * Idle instances that their pools need are selected, and busy ones drained, only
 * when the wave would otherwise not be completed in time; instances with long-running
 * tasks are drained earlier.
 *
 * @example
 * ```ts
 * const { maintain, drain } = planWave(request);
 * ```
 */
export function planWave({
  remaining,
  downCount,
  maxConcurrent,
  timeLeftMs,
  timeLimitMs,
  expectedDownMs,
}: WaveRequest): WaveActions {
  const up = remaining.filter(({ isUp }) => isUp);
  const available = Math.max(0, maxConcurrent - downCount);
  const rounds = Math.ceil(remaining.length / Math.max(1, maxConcurrent));
  const isUrgent = timeLeftMs <= rounds * expectedDownMs * URGENCY_FACTOR;
  const idle = up
    .filter(
      ({ runCount, isDispensable, isDraining }) =>
        runCount === 0 && (isUrgent || isDispensable || isDraining),
    )
    .sort((a, b) => maintenanceRank(a) - maintenanceRank(b));
  const maintain = idle.slice(0, available).map(({ instanceId }) => instanceId);
  const mayEvacuate = timeLeftMs <= EVACUATE_BELOW_FRACTION * timeLimitMs;
  const drainingCount = up.filter(({ isDraining, runCount }) => isDraining && runCount > 0).length;
  const drain = up
    .filter(
      ({ isDraining, runCount, hasLongRunningTasks }) =>
        !isDraining && runCount > 0 && (isUrgent || (mayEvacuate && hasLongRunningTasks)),
    )
    .sort((a, b) => a.runCount - b.runCount)
    .slice(0, Math.max(0, available - maintain.length - drainingCount));
  return { maintain, drain: drain.map(({ instanceId }) => instanceId) };
}

/** Position in the order of maintenance: draining instances first, then dispensable ones, then the others. */
function maintenanceRank({ isDraining, isDispensable }: WaveInstance): number {
  if (isDraining) return 0;
  return isDispensable ? 1 : 2;
}
