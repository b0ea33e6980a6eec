/** Decodes callers' job requests and encodes the responses. */
import type { JobDefinition } from '../scheduling/job_definition';
import type { JobState } from '../scheduling/job_progress';

/** The body of a request does not match the interface. */
export class BadBodyError extends Error {
  override readonly name = 'BadBodyError';
}

/** Translates the headers and bodies of one caller interface, so that request handling does not depend on its format. */
export abstract class CallerCodec {
  /** Reads the caller's key from its header; `null` if there is none. */
  abstract readKey(header: (name: string) => string | undefined): string | null;
  /** How long the caller waits for a response, in milliseconds; `null` if no header states it. */
  abstract readCallerTimeoutMs(header: (name: string) => string | undefined): number | null;
  /** Throws {@link BadBodyError} if the body is not a valid job. */
  abstract decodeJob(text: string): JobDefinition;
  abstract encodeState(state: JobState): object;
  abstract encodePending(pending: number): object;
}
