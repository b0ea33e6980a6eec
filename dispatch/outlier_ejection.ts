/** Finds targets that fail far more often than their peers. Decisions only. */

/** Time in which the weight of an earlier result halves, in milliseconds. */
const HALF_LIFE_MS = 5_000;

/** Results below this weight say too little about a target. */
const MIN_WEIGHT = 4;

/** A target is an outlier from this failure rate on, and only if it exceeds its peers' rate by the margin. */
const MIN_FAILURE_RATE = 0.5;
const MARGIN_OVER_PEERS = 0.3;

/** First ejection, doubled with every further one, in milliseconds. */
const BASE_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 300_000;

/** Least time between two requests to a target under probation, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;

/** Successful probes after which a target is healthy again. */
const PROBES_TO_RECOVER = 3;

/** Share of a pool that may be ejected at once, as a divisor. */
const EJECTED_DIVISOR = 3;

/** Recent results of one target and what follows from them. */
export interface TargetHealth {
  readonly successes: number;
  readonly failures: number;
  /** Time up to which the weights above have decayed. */
  readonly asOfMs: number;
  /** `null` if healthy; afterwards the target is under probation. */
  readonly ejectedUntilMs: number | null;
  /** Ejections in a row, for the back-off. */
  readonly ejections: number;
  readonly goodProbes: number;
  readonly lastProbeMs: number;
}

export const HEALTHY: TargetHealth = {
  successes: 0,
  failures: 0,
  asOfMs: 0,
  ejectedUntilMs: null,
  ejections: 0,
  goodProbes: 0,
  lastProbeMs: Number.NEGATIVE_INFINITY,
};

/** `healthy` targets take work, one that is `probing` at most a single request now and then. */
export type HealthState = 'healthy' | 'ejected' | 'probing';

export function healthState(health: TargetHealth, nowMs: number): HealthState {
  if (health.ejectedUntilMs === null) return 'healthy';
  return nowMs < health.ejectedUntilMs ? 'ejected' : 'probing';
}

/** Whether a target under probation may be sent one request now. */
export function isProbeDue(health: TargetHealth, nowMs: number): boolean {
  return healthState(health, nowMs) === 'probing' && nowMs - health.lastProbeMs >= PROBE_INTERVAL_MS;
}

/** The health after a request ended. */
export function recordResult(health: TargetHealth, isSuccess: boolean, nowMs: number): TargetHealth {
  const decayed = decay(health, nowMs);
  const counted = isSuccess
    ? { ...decayed, successes: decayed.successes + 1 }
    : { ...decayed, failures: decayed.failures + 1 };
  if (healthState(health, nowMs) !== 'probing') return counted;
  if (!isSuccess) return eject(counted, nowMs);
  const goodProbes = counted.goodProbes + 1;
  return goodProbes < PROBES_TO_RECOVER ? { ...counted, goodProbes } : recover(counted);
}

/**
 * Whether `health` has to be ejected, given the other targets of the pool.
 * Never lets more than a third of a pool be ejected or under probation.
 *
 * @example
 * ```ts
 * if (isOutlier(health, peers, nowMs)) table.set(instanceId, eject(health, nowMs));
 * ```
 */
export function isOutlier(health: TargetHealth, peers: readonly TargetHealth[], nowMs: number): boolean {
  if (health.ejectedUntilMs !== null) return false;
  const away = peers.filter(({ ejectedUntilMs }) => ejectedUntilMs !== null).length;
  if (away + 1 > Math.floor((peers.length + 1) / EJECTED_DIVISOR)) return false;
  const own = decay(health, nowMs);
  if (own.successes + own.failures < MIN_WEIGHT) return false;
  const rate = own.failures / (own.successes + own.failures);
  return rate >= MIN_FAILURE_RATE && rate >= failureRate(peers, nowMs) + MARGIN_OVER_PEERS;
}

/** The health at the start of an ejection. */
export function eject(health: TargetHealth, nowMs: number): TargetHealth {
  const lengthMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** health.ejections);
  return { ...health, ejectedUntilMs: nowMs + lengthMs, ejections: health.ejections + 1, goodProbes: 0 };
}

/** A later ejection is as long as the last one again, unless the target did well for a while. */
function recover(health: TargetHealth): TargetHealth {
  return {
    ...health,
    successes: 0,
    failures: 0,
    ejectedUntilMs: null,
    ejections: Math.max(0, health.ejections - 1),
    goodProbes: 0,
  };
}

function failureRate(targets: readonly TargetHealth[], nowMs: number): number {
  const decayed = targets.map((health) => decay(health, nowMs));
  const failures = decayed.reduce((sum, health) => sum + health.failures, 0);
  const total = decayed.reduce((sum, health) => sum + health.successes, failures);
  return total === 0 ? 0 : failures / total;
}

function decay(health: TargetHealth, nowMs: number): TargetHealth {
  const factor = 0.5 ** (Math.max(0, nowMs - health.asOfMs) / HALF_LIFE_MS);
  return {
    ...health,
    successes: health.successes * factor,
    failures: health.failures * factor,
    asOfMs: nowMs,
  };
}
