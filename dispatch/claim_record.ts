/** Claim rows of idempotency keys, and their evaluation for a further request with the same key. Does no I/O. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { IncarnationState } from '../membership/membership';
import type { HttpHeaders } from './dispatcher';

/** Maximum size in bytes of a body in a claim row; larger ones are stored in the object store. */
export const MAX_ROW_BODY_BYTES = 16 * 1024;

/** Maximum size in bytes of a response body that is recorded. */
export const MAX_RECORDED_BODY_BYTES = 1024 * 1024;

/** Age in milliseconds after which claims are removed. */
export const CLAIM_LIFETIME_MS = 24 * 60 * 60 * 1_000;

const claimFields = {
  memberId: z.string(),
  incarnation: z.string(),
  /** Unique per attempt to claim a key. It shows which attempt wrote the row if the response to the write is lost. */
  attemptId: z.string(),
  /** Hash of the request, see {@link fingerprintOf}. */
  fingerprint: z.string(),
  /** Wall-clock time of the claiming member in milliseconds, by which old claims are removed and objects are named. */
  claimedAtMs: z.number(),
};

const responseHead = {
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
};

const responseRecordSchema = z.union([
  z.object({ ...responseHead, bodyBase64: z.string() }),
  z.object({ ...responseHead, objectName: z.string() }),
]);

/**
 * What is known of the request. `claimed`: it may be running; `done`: it ran, and
 * `answer` is its response or `null` if that is not recorded; `unknown`: it may
 * have run.
 */
export const claimRowSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('claimed'), ...claimFields }),
  z.object({ state: z.literal('done'), ...claimFields, answer: responseRecordSchema.nullable() }),
  z.object({ state: z.literal('unknown'), ...claimFields }),
]);

export type ClaimRow = Readonly<z.infer<typeof claimRowSchema>>;

/** A response as stored in a claim row: with its body, or with the name of the object that contains the body. */
export type ResponseRecord = Readonly<z.infer<typeof responseRecordSchema>>;

/** A response that is recorded or replayed. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Buffer;
}

/** What an existing claim means for a further request with the same key. The kinds are also counter reasons. */
export type ExistingClaim =
  | { readonly kind: 'other_request' }
  | { readonly kind: 'done'; readonly response: ResponseRecord }
  | { readonly kind: 'answer_not_kept' }
  | { readonly kind: 'in_progress' }
  | { readonly kind: 'may_have_run' };

/** Returns the row key of a claim. Requests of no team use `-`, which is no valid team id. */
export function claimKey(teamId: string | null, idempotencyKey: string): string {
  return `claim/${teamId ?? '-'}/${sha256(idempotencyKey)}`;
}

/** Returns the row key prefix of one of 256 slices of the claims of a team, by the first byte of the key hash. */
export function claimSlicePrefix(teamId: string | null, slice: number): string {
  return `claim/${teamId ?? '-'}/${slice.toString(16).padStart(2, '0')}`;
}

export interface FingerprintParts {
  readonly queueId: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
}

/** Returns a hash that distinguishes different requests with the same idempotency key. */
export function fingerprintOf(parts: FingerprintParts): string {
  const head = JSON.stringify([parts.queueId, parts.method, parts.path]);
  return createHash('sha256')
    .update(head)
    .update(parts.body ?? Buffer.alloc(0))
    .digest('hex');
}

/**
 * Returns what `row` means for a request with `fingerprint`; `holderState` is
 * the state of the incarnation that wrote the row.
 *
 * @example
 * ```ts
 * const holderState = membership.incarnationState(row.memberId, row.incarnation);
 * const existing = evaluateExisting(row, fingerprint, holderState);
 * ```
 */
export function evaluateExisting(
  row: ClaimRow,
  fingerprint: string,
  holderState: IncarnationState,
): ExistingClaim {
  if (row.fingerprint !== fingerprint) return { kind: 'other_request' };
  if (row.state === 'unknown') return { kind: 'may_have_run' };
  if (row.state === 'claimed') return { kind: holderState === 'live' ? 'in_progress' : 'may_have_run' };
  return row.answer === null ? { kind: 'answer_not_kept' } : { kind: 'done', response: row.answer };
}

function sha256(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
