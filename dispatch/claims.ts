/** Claims of requests with an idempotency key: at most one of them is dispatched. */
import { randomUUID } from 'node:crypto';
import { match } from 'ts-pattern';
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import type { Member, Membership } from '../membership/membership';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import type { ObjectStore } from '../platform/object_store';
import type { Row, TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { AnswerArchive } from './answer_archive';
import { ClaimJanitor } from './claim_janitor';
import {
  claimKey,
  claimRowSchema,
  readExisting,
  type ClaimRow,
  type ExistingClaim,
  type AnswerRecord,
  type RecordedAnswer,
} from './claim_record';
import { ClaimWriter, type ClaimUpdateResult } from './claim_writer';

/** A claim waits this long for others to share its transaction, in milliseconds. */
const CLAIM_BATCH_MS = 4;

/** Nobody waits for the record of an answer, so it may wait longer for company, in milliseconds. */
const RECORD_BATCH_MS = 25;

/** A claim that is not decided within this time is refused as not run, in milliseconds. */
const CLAIM_TIMEOUT_MS = 1_000;

/** Pauses between attempts to write the record of an answer, in milliseconds. */
const RECORD_RETRY_MS = 250;
const MAX_RECORD_RETRY_MS = 5_000;

export interface ClaimRequest {
  readonly teamId: string | null;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A claim that this entry instance holds. Exactly one of its methods has to be called, once. */
export interface HeldClaim {
  /** The request was surely not run: the key may be used again. */
  release(): void;
  /** The request ran; `null` if its answer is too large to be kept. */
  complete(answer: RecordedAnswer | null): void;
  /** The request may have run, and its answer is not known. */
  markOutcomeUnknown(): void;
}

export type ClaimResult =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly response: RecordedAnswer };

export interface ClaimsOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly membership: Membership;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * Claims keys before dispatch. A claim row is deleted only by its holder,
 * after a request that surely did not run, or a day later; so a key that led
 * to a dispatch leads to no second one.
 *
 * @example
 * ```ts
 * const result = await claims.claim({ teamId, idempotencyKey, fingerprint, deadlineAtMs, signal });
 * if (result.kind === 'held') result.claim.release();
 * ```
 */
export class Claims {
  private readonly writer: ClaimWriter;
  private readonly janitor: ClaimJanitor;
  private readonly archive: AnswerArchive;
  /** Attempts that wait for their claim or hold one. */
  private readonly active = new Set<string>();
  private readonly records = new Set<Promise<void>>();
  private isStopped = false;

  constructor(private readonly options: ClaimsOptions) {
    const { clock, table } = options;
    this.writer = new ClaimWriter(options);
    this.archive = new AnswerArchive(options.objects);
    this.janitor = new ClaimJanitor({ clock, table, writer: this.writer });
  }

  /** Claims the key. Rejects with `RequestError` if the request must not be dispatched. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const self = this.options.membership.self();
    if (self === null) throw this.unavailable('not_registered', null);
    const attempt = this.begin(request, self);
    try {
      return await this.settle(attempt);
    } catch (error) {
      this.active.delete(attempt.row.attemptId);
      throw error;
    }
  }

  /** Waits up to `limitMs` milliseconds for records that are not written yet, and gives the others up. */
  async stop(limitMs: number): Promise<void> {
    this.janitor.stop();
    await Promise.race([Promise.all(this.records), this.options.clock.delay(limitMs)]);
    this.isStopped = true;
  }

  private begin(request: ClaimRequest, self: Member): ClaimAttempt {
    const row: ClaimRow = {
      state: 'claimed',
      memberId: self.memberId,
      incarnation: self.incarnation,
      attemptId: randomUUID(),
      fingerprint: request.fingerprint,
      claimedAtMs: this.options.clock.wallMs(),
    };
    this.active.add(row.attemptId);
    const giveUpAtMs = Math.min(request.deadlineAtMs, this.options.clock.monotonicMs() + CLAIM_TIMEOUT_MS);
    const key = claimKey(request.teamId, request.idempotencyKey);
    return { key, row, giveUpAtMs, signal: request.signal };
  }

  private async settle(attempt: ClaimAttempt): Promise<ClaimResult> {
    let expected: number | null = null;
    for (;;) {
      const result = await this.write(attempt, expected);
      if (result.kind === 'written') return this.held(attempt, result.version);
      if (result.kind === 'failed') {
        if (result.mayBeWritten) this.janitor.watch(attempt.key, attempt.row.attemptId);
        throw this.unavailable('table', result.cause);
      }
      if (result.row !== null && !this.isOrphan(result.row)) return await this.existing(attempt, result.row);
      expected = result.row?.version ?? null;
    }
  }

  /** Writes the claim, unless time or the caller's patience runs out first. */
  private write(attempt: ClaimAttempt, expected: number | null): Promise<ClaimUpdateResult> {
    const { clock } = this.options;
    const { key, row, signal } = attempt;
    return new Promise((resolve, reject) => {
      let isWanted = true;
      const giveUp = (refusal: RequestError): void => {
        isWanted = false;
        stopWatching();
        this.active.delete(row.attemptId);
        reject(refusal);
      };
      const onAbort = (): void => {
        giveUp(new RequestError(RESULT_CODES.callerGone, { outcome: 'not_run' }));
      };
      const timer = clock.schedule(Math.max(0, attempt.giveUpAtMs - clock.monotonicMs()), () => {
        giveUp(this.unavailable('timeout', null));
      });
      const stopWatching = (): void => {
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
      };
      signal.addEventListener('abort', onAbort);
      const options = { maxWaitMs: CLAIM_BATCH_MS, isWanted: () => isWanted };
      void this.writer.submit({ key, expected, value: row }, options).then((result) => {
        stopWatching();
        if (isWanted) resolve(result);
        else this.abandon(attempt, result);
      });
      if (signal.aborted) onAbort();
    });
  }

  /** Removes a claim that was decided only after the request had been refused. */
  private abandon(attempt: ClaimAttempt, result: ClaimUpdateResult): void {
    if (result.kind === 'written') this.remove(attempt, result.version);
    else if (result.kind === 'failed' && result.mayBeWritten) {
      this.janitor.watch(attempt.key, attempt.row.attemptId);
    }
  }

  private held(attempt: ClaimAttempt, version: number | null): ClaimResult {
    const { row } = attempt;
    const claim: HeldClaim = {
      release: () => {
        this.active.delete(row.attemptId);
        this.remove(attempt, version);
      },
      complete: (answer) => {
        this.track(this.complete(attempt, version, answer));
      },
      markOutcomeUnknown: () => {
        this.track(this.writeRecord(attempt, version, { ...row, state: 'unknown' }));
      },
    };
    return { kind: 'held', claim };
  }

  private async existing(attempt: ClaimAttempt, row: Row): Promise<ClaimResult> {
    const claim = claimRowSchema.parse(row.value);
    const standing = this.options.membership.incarnationState(claim.memberId, claim.incarnation);
    const existing = readExisting(claim, attempt.row.fingerprint, standing);
    this.options.counters.increment('claims.existing', existing.kind);
    if (existing.kind === 'done') {
      this.active.delete(attempt.row.attemptId);
      return { kind: 'replay', response: await this.replay(existing.answer) };
    }
    throw refusalFor(existing);
  }

  private async replay(record: AnswerRecord): Promise<RecordedAnswer> {
    const answer = await this.archive.load(record).catch((error: unknown) => {
      const options = { outcome: 'ran', retryAfterS: 1, cause: error } as const;
      throw new RequestError(RESULT_CODES.platformUnavailable, options);
    });
    if (answer === null) throw refusalFor({ kind: 'answer_not_kept' });
    return answer;
  }

  /** Whether a row is the remains of an attempt of this process that was given up before dispatch. */
  private isOrphan(row: Row): boolean {
    const claim = claimRowSchema.parse(row.value);
    const isOwn = claim.incarnation === this.options.membership.self()?.incarnation;
    return claim.state === 'claimed' && isOwn && !this.active.has(claim.attemptId);
  }

  private remove(attempt: ClaimAttempt, version: number | null): void {
    const { key, row } = attempt;
    const options = { maxWaitMs: RECORD_BATCH_MS, isWanted: () => true };
    const removed = this.writer.submit({ key, expected: version, value: null }, options).then((result) => {
      if (result.kind === 'failed') this.janitor.watch(key, row.attemptId);
    });
    this.track(removed);
  }

  private async complete(
    attempt: ClaimAttempt,
    version: number | null,
    answer: RecordedAnswer | null,
  ): Promise<void> {
    const { row } = attempt;
    const record = answer === null ? null : await this.storeAnswer(row, answer);
    await this.writeRecord(attempt, version, { ...row, state: 'done', answer: record });
  }

  /** An answer that cannot be stored is given up: that the request ran must be recorded soon. */
  private async storeAnswer(row: ClaimRow, answer: RecordedAnswer): Promise<AnswerRecord | null> {
    try {
      return await this.archive.store(answer, row.attemptId, row.claimedAtMs);
    } catch {
      this.options.counters.increment('claims.answer_not_stored');
      return null;
    }
  }

  /** Tries until the table answers: until then others are told that the request is in progress. */
  private async writeRecord(attempt: ClaimAttempt, version: number | null, value: ClaimRow): Promise<void> {
    const { clock, counters, logger } = this.options;
    const options = { maxWaitMs: RECORD_BATCH_MS, isWanted: () => !this.isStopped };
    for (let round = 0; !this.isStopped; round += 1) {
      const result = await this.writer.submit({ key: attempt.key, expected: version, value }, options);
      if (result.kind !== 'failed') break;
      counters.increment('claims.record_delayed');
      if (round === 0) logger.warn(LOG_EVENTS.claimRecordDelayed, { reason: String(result.cause) });
      await clock.delay(Math.min(MAX_RECORD_RETRY_MS, RECORD_RETRY_MS * 2 ** round));
    }
    this.active.delete(attempt.row.attemptId);
  }

  private track(work: Promise<void>): void {
    const tracked: Promise<void> = work.finally(() => this.records.delete(tracked));
    this.records.add(tracked);
  }

  private unavailable(reason: string, cause: unknown): RequestError {
    this.options.counters.increment('claims.refused', reason);
    this.options.logger.warn(LOG_EVENTS.claimsUnavailable, { reason });
    return new RequestError(RESULT_CODES.claimUnavailable, { outcome: 'not_run', retryAfterS: 1, cause });
  }
}

/** One try to claim a key. */
interface ClaimAttempt {
  readonly key: string;
  readonly row: ClaimRow;
  readonly giveUpAtMs: number;
  readonly signal: AbortSignal;
}

function refusalFor(existing: Exclude<ExistingClaim, { kind: 'done' }>): RequestError {
  return match(existing.kind)
    .with('other_request', () => new RequestError(RESULT_CODES.idempotencyKeyReused, { outcome: 'not_run' }))
    .with(
      'in_progress',
      () => new RequestError(RESULT_CODES.requestInProgress, { outcome: 'may_have_run', retryAfterS: 1 }),
    )
    .with('answer_not_kept', () => new RequestError(RESULT_CODES.answerNotKept, { outcome: 'ran' }))
    .with(
      'may_have_run',
      () => new RequestError(RESULT_CODES.earlierAttemptUnknown, { outcome: 'may_have_run' }),
    )
    .exhaustive();
}

export const CLAIMS = capability<Claims>('dispatch.claims');
