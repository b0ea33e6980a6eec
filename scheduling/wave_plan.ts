/** Decides which instances of a maintenance wave are drained and which are maintained now. */

/** An instance that still has to be maintained. */
export interface WaveInstance {
  readonly instanceId: string;
  readonly isUp: boolean;
  /** Whether its pool can do without it now. */
  readonly isDispensable: boolean;
  readonly runCount: number;
  /** Whether it already takes no further tasks for this wave. */
  readonly isDraining: boolean;
}

export interface WaveRequest {
  readonly remaining: readonly WaveInstance[];
  /** Instances of the wave that are down for maintenance, or may be. */
  readonly downCount: number;
  readonly maxConcurrent: number;
  /** Time until the term ends, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time that one instance is expected to be away, drain included, in milliseconds. */
  readonly expectedDownMs: number;
}

export interface WaveActions {
  /** Run nothing: maintained now. */
  readonly maintain: readonly string[];
  /** Take no further tasks from now on. */
  readonly drain: readonly string[];
}

/** Instances that are needed are taken and drained once less than this many times the least possible time is left. */
const URGENCY_FACTOR = 2;

/**
 * Takes instances that run nothing and that nobody needs at once, and drains
 * others only when the term asks for it.
 *
 * @example
 * ```ts
 * const { maintain, close } = planWave(request);
 * ```
 */
export function planWave({
  remaining,
  downCount,
  maxConcurrent: maxAtOnce,
  timeLeftMs,
  expectedDownMs: roundMs,
}: WaveRequest): WaveActions {
  const up = remaining.filter(({ isUp }) => isUp);
  const room = Math.max(0, maxAtOnce - downCount);
  const rounds = Math.ceil(remaining.length / Math.max(1, maxAtOnce));
  const isUrgent = timeLeftMs <= rounds * roundMs * URGENCY_FACTOR;
  const idle = up
    .filter(
      ({ runCount, isDispensable, isDraining: isClosing }) =>
        runCount === 0 && (isUrgent || isDispensable || isClosing),
    )
    .sort((a, b) => rank(a) - rank(b));
  const maintain = idle.slice(0, room).map(({ instanceId }) => instanceId);
  if (!isUrgent) return { maintain, drain: [] };
  const closing = up.filter(({ isDraining: isClosing, runCount }) => isClosing && runCount > 0).length;
  const close = up
    .filter(({ isDraining: isClosing, runCount }) => !isClosing && runCount > 0)
    .sort((a, b) => a.runCount - b.runCount)
    .slice(0, Math.max(0, room - maintain.length - closing));
  return { maintain, drain: close.map(({ instanceId }) => instanceId) };
}

/** Drained instances first, then those that nobody needs. */
function rank({ isDraining: isClosing, isDispensable }: WaveInstance): number {
  if (isClosing) return 0;
  return isDispensable ? 1 : 2;
}
