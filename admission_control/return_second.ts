/** Assigns each job id the seconds in which its caller may be asked to return. */

/**
 * Number of seconds in a cycle, each of which belongs to as many ids. A longer cycle tells
 * returns better from first submissions, and delays them more.
 */
const CYCLE_SECONDS = 4;

/** FNV-1a with 32 bits, which spreads ids that differ in their last digits only. */
const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

/**
 * Hash of a job id; all processes compute it alike.
 *
 * @example
 * ```ts
 * idHash('00000000000000aa') % 4;
 * ```
 */
export function idHash(jobId: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < jobId.length; index += 1)
    hash = Math.imul(hash ^ jobId.charCodeAt(index), HASH_PRIME) >>> 0;
  // The lowest bits of FNV-1a depend on few bits of the input.
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Whether a caller may have been asked to submit the job in this second of the leader's count. */
export function isReturnSecond(jobId: string, second: number): boolean {
  return (idHash(jobId) + second) % CYCLE_SECONDS === 0;
}

/**
 * The first second of the job that begins at or after the given time, in seconds.
 *
 * @example
 * ```ts
 * returnSecondFrom(jobId, 17.2); // 18, 19, 20 or 21
 * ```
 */
export function returnSecondFrom(jobId: string, earliestSeconds: number): number {
  let second = Math.ceil(earliestSeconds);
  while (!isReturnSecond(jobId, second)) second += 1;
  return second;
}
