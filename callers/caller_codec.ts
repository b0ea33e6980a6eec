/** Encoding of the calls with which callers submit and watch jobs. */
import type { JobDefinition } from '../scheduling/job_definition';
import type { JobState } from '../scheduling/job_progress';

/** The body of a call is not what the interface asks for. */
export class BadBodyError extends Error {
  override readonly name = 'BadBodyError';
}

/** Translates bodies and headers, so that decisions do not depend on one interface. */
export abstract class CallerCodec {
  /** Header that carries the key, and the key in it; `null` if there is none. */
  abstract readKey(header: (name: string) => string | undefined): string | null;
  /** How long the caller waits for an answer, in milliseconds; `null` if it does not say. */
  abstract readCallerTimeoutMs(header: (name: string) => string | undefined): number | null;
  /** Throws {@link BadBodyError}. */
  abstract decodeJob(text: string): JobDefinition;
  abstract encodeState(state: JobState): object;
  abstract encodePending(pending: number): object;
}
