/** Rows of claims and what a second request with the same key is told. Decisions only. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { IncarnationState } from '../membership/membership';
import type { HttpHeaders } from './dispatcher';

/** Larger bodies go to the object store. */
export const MAX_ROW_BODY_BYTES = 16 * 1024;

/** Larger bodies are not recorded. */
export const MAX_RECORDED_BODY_BYTES = 1024 * 1024;

/** Claims are removed after this time, in milliseconds. */
export const CLAIM_LIFETIME_MS = 24 * 60 * 60 * 1_000;

const claimFields = {
  memberId: z.string(),
  incarnation: z.string(),
  /** Unique for every attempt to claim, so that a lost answer of the table can be read back. */
  attemptId: z.string(),
  fingerprint: z.string(),
  /** Wall clock of the claiming member, in milliseconds; only the removal of old claims uses it. */
  claimedAtMs: z.number(),
};

const answerHead = {
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
};

const answerRecordSchema = z.union([
  z.object({ ...answerHead, bodyBase64: z.string() }),
  z.object({ ...answerHead, objectName: z.string() }),
]);

/** `claimed`: may be running; `done`: ran, with its answer if that was kept; `unknown`: may have run. */
export const claimRowSchema = z.discriminatedUnion('state', [
  z.object({ state: z.literal('claimed'), ...claimFields }),
  z.object({ state: z.literal('done'), ...claimFields, answer: answerRecordSchema.nullable() }),
  z.object({ state: z.literal('unknown'), ...claimFields }),
]);

export type ClaimRow = Readonly<z.infer<typeof claimRowSchema>>;

/** An answer as its row keeps it: with the body, or with the name of the object that holds it. */
export type AnswerRecord = Readonly<z.infer<typeof answerRecordSchema>>;

/** An answer that is recorded or replayed. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: HttpHeaders;
  readonly body: Buffer;
}

/** What a request finds when its key is claimed already. */
export type ExistingClaim =
  | { readonly kind: 'other_request' }
  | { readonly kind: 'done'; readonly answer: AnswerRecord }
  | { readonly kind: 'answer_not_kept' }
  | { readonly kind: 'in_progress' }
  | { readonly kind: 'may_have_run' };

/** Key of the row; work of no team on a queue open to all shares one name that no team can have. */
export function claimKey(teamId: string | null, idempotencyKey: string): string {
  return `claim/${teamId ?? '-'}/${sha256(idempotencyKey)}`;
}

/** Prefix of one of the 256 slices of a team's claims. */
export function claimSlicePrefix(teamId: string | null, slice: number): string {
  return `claim/${teamId ?? '-'}/${slice.toString(16).padStart(2, '0')}`;
}

export interface FingerprintParts {
  readonly queueId: string;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer | null;
}

/** Tells requests apart that carry the same key. */
export function fingerprintOf(parts: FingerprintParts): string {
  const head = JSON.stringify([parts.queueId, parts.method, parts.path]);
  return createHash('sha256')
    .update(head)
    .update(parts.body ?? Buffer.alloc(0))
    .digest('hex');
}

/**
 * What the row tells a request with `fingerprint`; `standing` is that of the
 * member named in the row.
 *
 * @example
 * ```ts
 * const existing = readExisting(row, fingerprint, membership.incarnationState(row.memberId, row.incarnation));
 * ```
 */
export function readExisting(row: ClaimRow, fingerprint: string, standing: IncarnationState): ExistingClaim {
  if (row.fingerprint !== fingerprint) return { kind: 'other_request' };
  if (row.state === 'unknown') return { kind: 'may_have_run' };
  if (row.state === 'claimed') return { kind: standing === 'live' ? 'in_progress' : 'may_have_run' };
  return row.answer === null ? { kind: 'answer_not_kept' } : { kind: 'done', answer: row.answer };
}

function sha256(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
