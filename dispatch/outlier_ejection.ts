/** Outlier detection: finds targets that fail far more often than others of their pool. Does no I/O. */

/** Time in milliseconds in which the weight of a result decays to half. */
const RESULT_HALF_LIFE_MS = 5_000;

/** Sum of weights below which the results of a target are too few to eject it. */
const MIN_RESULT_WEIGHT = 4;

/**
 * An outlier has at least this failure rate, and at least the failure rate of the
 * other targets of its pool plus {@link MARGIN_OVER_PEERS}.
 */
const MIN_FAILURE_RATE = 0.5;
const MARGIN_OVER_PEERS = 0.3;

/** Duration in milliseconds of the first ejection, which doubles with each further one up to the maximum. */
const BASE_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 300_000;

/** Shortest time in milliseconds between two probes of a target. */
const PROBE_INTERVAL_MS = 1_000;

/** Number of successful probes after which a target is healthy again. */
const PROBES_TO_RECOVER = 3;

/** A pool may have one target ejected or on probation per this many targets. */
const TARGETS_PER_EJECTION = 3;

/** Recent results of one target and its ejection state. */
export interface TargetHealth {
  /** Sum of the decayed weights of the successful results. */
  readonly successes: number;
  /** Sum of the decayed weights of the failed results. */
  readonly failures: number;
  /** Local monotonic time in milliseconds up to which the weights have been decayed. */
  readonly asOfMs: number;
  /** End of the ejection, after which the target is on probation; `null` if it is healthy. */
  readonly ejectedUntilMs: number | null;
  /** Number of ejections, on which the duration of the next one depends; each recovery reduces it by one. */
  readonly ejections: number;
  readonly successfulProbes: number;
  readonly lastProbeAtMs: number;
}

export const HEALTHY: TargetHealth = {
  successes: 0,
  failures: 0,
  asOfMs: 0,
  ejectedUntilMs: null,
  ejections: 0,
  successfulProbes: 0,
  lastProbeAtMs: Number.NEGATIVE_INFINITY,
};

/** A `healthy` target gets requests, an `ejected` one none, and one on probation (`probing`) only probes. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

export function healthState(health: TargetHealth, nowMs: number): HealthState {
  if (health.ejectedUntilMs === null) return 'healthy';
  return nowMs < health.ejectedUntilMs ? 'ejected' : 'probing';
}

/** Whether the target is on probation and may get a probe now. */
export function isProbeDue(health: TargetHealth, nowMs: number): boolean {
  return healthState(health, nowMs) === 'probing' && nowMs - health.lastProbeAtMs >= PROBE_INTERVAL_MS;
}

/** Returns the health after a request has ended. */
export function recordResult(health: TargetHealth, isSuccess: boolean, nowMs: number): TargetHealth {
  const decayed = decay(health, nowMs);
  const updated = isSuccess
    ? { ...decayed, successes: decayed.successes + 1 }
    : { ...decayed, failures: decayed.failures + 1 };
  if (healthState(health, nowMs) !== 'probing') return updated;
  if (!isSuccess) return eject(updated, nowMs);
  const successfulProbes = updated.successfulProbes + 1;
  return successfulProbes < PROBES_TO_RECOVER ? { ...updated, successfulProbes } : recovered(updated);
}

/**
 * Whether the target with `health` must be ejected; `peers` are the other targets
 * of the pool. At most a third of a pool is ejected or on probation.
 *
 * @example
 * ```ts
 * if (isOutlier(health, peers, nowMs)) healthByTarget.set(instanceId, eject(health, nowMs));
 * ```
 */
export function isOutlier(health: TargetHealth, peers: readonly TargetHealth[], nowMs: number): boolean {
  if (health.ejectedUntilMs !== null) return false;
  const ejected = peers.filter(({ ejectedUntilMs }) => ejectedUntilMs !== null).length;
  if (ejected + 1 > Math.floor((peers.length + 1) / TARGETS_PER_EJECTION)) return false;
  const own = decay(health, nowMs);
  if (own.successes + own.failures < MIN_RESULT_WEIGHT) return false;
  const rate = own.failures / (own.successes + own.failures);
  return rate >= MIN_FAILURE_RATE && rate >= failureRate(peers, nowMs) + MARGIN_OVER_PEERS;
}

/** Returns the health at the start of an ejection. */
export function eject(health: TargetHealth, nowMs: number): TargetHealth {
  const durationMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** health.ejections);
  return {
    ...health,
    ejectedUntilMs: nowMs + durationMs,
    ejections: health.ejections + 1,
    successfulProbes: 0,
  };
}

/** Returns the health after successful probes; the next ejection is as long as the last one. */
function recovered(health: TargetHealth): TargetHealth {
  return {
    ...health,
    successes: 0,
    failures: 0,
    ejectedUntilMs: null,
    ejections: Math.max(0, health.ejections - 1),
    successfulProbes: 0,
  };
}

function failureRate(targets: readonly TargetHealth[], nowMs: number): number {
  const decayed = targets.map((health) => decay(health, nowMs));
  const failures = decayed.reduce((sum, health) => sum + health.failures, 0);
  const total = decayed.reduce((sum, health) => sum + health.successes, failures);
  return total === 0 ? 0 : failures / total;
}

function decay(health: TargetHealth, nowMs: number): TargetHealth {
  const factor = 0.5 ** (Math.max(0, nowMs - health.asOfMs) / RESULT_HALF_LIFE_MS);
  return {
    ...health,
    successes: health.successes * factor,
    failures: health.failures * factor,
    asOfMs: nowMs,
  };
}
