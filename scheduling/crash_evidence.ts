/** Judges which tasks may have crashed a worker, and when a task is given up. */

/**
 * Age from which a run is not suspected of a crash, in milliseconds. Without a limit,
 * long-running tasks would be suspected for each failure of a machine.
 */
const SUSPECT_MS = 3_000;

/**
 * How long no other task starts on the worker of a suspect, by the number of crashes with
 * it as a first suspect, in milliseconds. A task that crashes its worker mostly does so
 * while it starts.
 */
const ISOLATION_MS: readonly number[] = [150, 150, 500];

/**
 * Number of crashes from which a task is isolated for {@link SUSPECT_MS}, whatever started
 * after it: it may crash its workers only after a while.
 */
const MANY_CRASHES = 3;

/** Minimum age of the other runs on the worker of such a task, in milliseconds. */
const MAX_QUIET_MS = 1_000;

/** Difference of the ages of runs that may have started in either order, in milliseconds. */
const START_JITTER_MS = 20;

/**
 * Number of consecutive crashes that only the task explains after which it is given up. A
 * worker that flaps, or an outage of a rack, produces one or two by chance.
 */
const MIN_OWN_CRASHES = 4;

/** Number of different workers among {@link MIN_OWN_CRASHES}, so that a faulty worker decides nothing. */
const MIN_WORKERS = 3;

/** Number of crashes in isolation that are needed to rule out the tasks beside it. */
const MIN_SOLE_CRASHES = 2;

/** Number of crashes in isolation that decide even if no start was confirmed. */
const MAX_SOLE_CRASHES = 4;

/** Number of characters of the mark of a worker. */
const MARK_LENGTH = 2;

/** Crashes of workers for which a task is suspected. */
export interface CrashCounts {
  /** Workers that crashed after they had confirmed its start. */
  readonly crashes: number;
  /** Crashes for which it was a first suspect, also if its start was not confirmed. */
  readonly firstCrashes: number;
  /** Those of {@link firstCrashes} for which it was the only suspect. */
  readonly soleCrashes: number;
  /** The latest of {@link firstCrashes} at different times, while no worker crashed without the task. */
  readonly ownCrashes: number;
  /** Marks of the latest different workers of {@link ownCrashes}; see {@link workerMark}. */
  readonly workerMarks: readonly string[];
}

export const NO_CRASHES: CrashCounts = {
  crashes: 0,
  firstCrashes: 0,
  soleCrashes: 0,
  ownCrashes: 0,
  workerMarks: [],
};

/**
 * What happened in the pool since the previous crash under a task. `none`: no worker crashed
 * without it. `too_soon`: the previous crash was so recent that one outage may have caused
 * both. `crashed`: a worker crashed without it, and without any task that may be to blame.
 * `crashed_beside_young`: likewise, but a young task ran there that had not just started.
 */
export type OtherCrashes = 'none' | 'too_soon' | 'crashed' | 'crashed_beside_young';

/** A crash of a worker under a task. */
export interface TaskCrash {
  readonly suspicion: Suspicion;
  /** Whether the worker had confirmed the start. */
  readonly isConfirmed: boolean;
  readonly workerId: string;
  readonly others: OtherCrashes;
  /** Whether the worker crashed just after the start; see {@link hasJustStarted}. */
  readonly isImmediate: boolean;
}

/**
 * `cleared`: the run had outlived the time within which tasks crash their workers.
 * `beside`: others had started after it. `shared`: a first suspect, as others may be.
 * `sole`: the only one, and no other task had started since.
 */
export type Suspicion = 'cleared' | 'beside' | 'shared' | 'sole';

/** A task, or a gang, that ran on a worker when it crashed. */
export interface CrashedTask {
  /** Identifies the task; the members of a gang are one. */
  readonly unit: string;
  /** Time since its latest start on the worker, in milliseconds. */
  readonly ageMs: number;
  /** How long it was isolated, in milliseconds; see {@link isolationMs}. */
  readonly isolatedMs: number;
  /** Whether the worker has confirmed the start; otherwise it may never have arrived. */
  readonly isConfirmed: boolean;
}

/**
 * Returns the suspicion of each task that ran on a worker when it crashed. The first
 * suspects are those that had started last.
 *
 * @example
 * ```ts
 * const suspicions = judgeCrash([
 *   { unit: 'a', ageMs: 12, isolatedMs: 150, isConfirmed: true },
 *   { unit: 'b', ageMs: 900, isolatedMs: 150, isConfirmed: true },
 * ]);
 * suspicions.get('a'); // 'sole'
 * ```
 */
export function judgeCrash(tasks: readonly CrashedTask[]): ReadonlyMap<string, Suspicion> {
  const youngest = new Map<string, CrashedTask>();
  for (const task of tasks)
    if (task.ageMs < (youngest.get(task.unit)?.ageMs ?? Infinity)) youngest.set(task.unit, task);
  const minAgeMs = Math.min(...tasks.map(({ ageMs }) => ageMs));
  const isFirst = ({ ageMs }: CrashedTask): boolean => ageMs <= 2 * minAgeMs + START_JITTER_MS;
  const firstCount = [...youngest.values()].filter(isFirst).length;
  const suspicionOf = (task: CrashedTask): Suspicion => {
    if (task.ageMs >= SUSPECT_MS) return 'cleared';
    if (!isFirst(task)) return 'beside';
    return firstCount === 1 && task.ageMs < task.isolatedMs ? 'sole' : 'shared';
  };
  return new Map([...youngest].map(([unit, task]) => [unit, suspicionOf(task)]));
}

/** Whether one of the lost tasks was young enough to be suspected at all. */
export function hasYoungTask(tasks: readonly Pick<CrashedTask, 'ageMs'>[]): boolean {
  return tasks.some(({ ageMs }) => ageMs < SUSPECT_MS);
}

/** Whether a task of the lost ones had just started, so that it may have caused the crash. */
export function hasJustStarted(tasks: readonly Pick<CrashedTask, 'ageMs'>[]): boolean {
  return tasks.some(({ ageMs }) => ageMs < isolationMs(NO_CRASHES));
}

/**
 * A short mark of a worker's id, of which the row of a job has room for several. Two workers
 * may have the same mark, and then count as one.
 */
export function workerMark(workerId: string): string {
  let hash = 0;
  for (let index = 0; index < workerId.length; index += 1)
    hash = (hash * 31 + workerId.charCodeAt(index)) % 36 ** MARK_LENGTH;
  return hash.toString(36).padStart(MARK_LENGTH, '0');
}

/** Counts a crash. */
export function withCrash(
  counts: CrashCounts,
  { suspicion, isConfirmed, workerId, others, isImmediate }: TaskCrash,
): CrashCounts {
  if (suspicion === 'cleared') return NO_CRASHES;
  const counted = {
    ...counts,
    crashes: counts.crashes + (isConfirmed ? 1 : 0),
    firstCrashes: counts.firstCrashes + (suspicion === 'beside' ? 0 : 1),
    soleCrashes: counts.soleCrashes + (suspicion === 'sole' ? 1 : 0),
  };
  // Another deadly task may explain the crash beside a young one, and an outage does not follow starts.
  const isContrary = others === 'crashed' || (others === 'crashed_beside_young' && !isImmediate);
  if (isContrary) return { ...counted, ownCrashes: 0, workerMarks: [] };
  if (suspicion === 'beside' || others === 'too_soon') return counted;
  const mark = workerMark(workerId);
  const workerMarks = [...counts.workerMarks.filter((known) => known !== mark), mark].slice(-MIN_WORKERS);
  return { ...counted, ownCrashes: counts.ownCrashes + 1, workerMarks };
}

/** Whether a task starts apart from others. One that ran beside first suspects once or twice does not. */
export function isSuspect({ crashes, firstCrashes }: CrashCounts): boolean {
  return firstCrashes > 0 || crashes >= MANY_CRASHES;
}

/**
 * Whether only the task can have caused its latest crashes: on several workers, at different
 * times, while no worker crashed without it. An outage of racks also hits workers without
 * the task, and a faulty worker is one of several.
 */
export function isProven({ crashes, soleCrashes, ownCrashes, workerMarks }: CrashCounts): boolean {
  if (ownCrashes < MIN_OWN_CRASHES || workerMarks.length < MIN_WORKERS) return false;
  return soleCrashes >= (crashes > 0 ? MIN_SOLE_CRASHES : MAX_SOLE_CRASHES);
}

/**
 * Whether a task is given up after a crash that is part of the counts. Only a crash of
 * which it was the only suspect decides, since it may have run beside the one to blame
 * any number of times. Crashes count as attempts only once they are proven to be its own.
 */
export function isGivenUp(
  counts: CrashCounts,
  suspicion: Suspicion,
  { failures, maxAttempts }: { readonly failures: number; readonly maxAttempts: number },
): boolean {
  return suspicion === 'sole' && isProven(counts) && failures + counts.ownCrashes >= maxAttempts;
}

/** How long no other task may start on the worker of a suspect, in milliseconds. */
export function isolationMs({ crashes, firstCrashes }: CrashCounts): number {
  if (crashes >= MANY_CRASHES) return SUSPECT_MS;
  return ISOLATION_MS[firstCrashes] ?? SUSPECT_MS;
}

/**
 * Minimum age of all runs on a worker before a suspect starts there, in milliseconds, so
 * that they are not suspected of its crash.
 */
export function quietMs(counts: CrashCounts): number {
  return Math.min(MAX_QUIET_MS, isolationMs(counts));
}
