/** Claim rows, and what they mean for a further request with the same key. Does no I/O. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { IncarnationState } from '../membership/membership';
import type { HttpHeaders } from './dispatcher';

/** Larger bodies are stored in the object store, in bytes. */
export const MAX_ROW_BODY_BYTES = 16 * 1024;

/** Larger bodies are not recorded, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 1024 * 1024;

/** Claims are removed after this time, in milliseconds. */
export const CLAIM_LIFETIME_MS = 24 * 60 * 60 * 1_000;

const claimFields = {
  memberId: z.string(),
  incarnation: z.string(),
  /** Unique per attempt to claim a key; after a lost response it shows which attempt wrote the row. */
  attemptId: z.string(),
  fingerprint: z.string(),
  /** Wall-clock time of the claiming member, in milliseconds; for the removal of old claims and object names. */
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

/** `claimed`: may be running; `done`: ran, with its response if that is recorded; `unknown`: may have run. */
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

/** What an existing claim of its key means for a further request; the kinds are also counter reasons. */
export type ExistingClaim =
  | { readonly kind: 'other_request' }
  | { readonly kind: 'done'; readonly response: ResponseRecord }
  | { readonly kind: 'answer_not_kept' }
  | { readonly kind: 'in_progress' }
  | { readonly kind: 'may_have_run' };

/** Row key of a claim. Work of no team uses `-`, which is no valid team id. */
export function claimKey(teamId: string | null, idempotencyKey: string): string {
  return `claim/${teamId ?? '-'}/${sha256(idempotencyKey)}`;
}

/** Key prefix of one of 256 slices of the claims of a team, by the first byte of the hash. */
export function claimSlicePrefix(teamId: string | null, slice: number): string {
  return `claim/${teamId ?? '-'}/${slice.toString(16).padStart(2, '0')}`;
}

export interface FingerprintParts {
  readonly queueId: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
}

/** Hash that distinguishes different requests with the same key. */
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
