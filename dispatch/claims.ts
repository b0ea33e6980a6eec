/** Claims of idempotency keys: at most one request per key is dispatched. */
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
import { ResponseStore } from './response_store';
import { OrphanClaimRemover } from './orphan_claim_remover';
import {
  claimKey,
  claimRowSchema,
  evaluateExisting,
  type ClaimRow,
  type ExistingClaim,
  type ResponseRecord,
  type RecordedResponse,
} from './claim_record';
import { ClaimWriter, type ClaimUpdateResult } from './claim_writer';

/** Longest time in milliseconds for which a claim waits for other claims to share its transaction. */
const CLAIM_BATCH_WAIT_MS = 4;

/** The same time for the record of a response; it is longer, since no caller waits for the record. */
const RECORD_BATCH_WAIT_MS = 25;

/** Time in milliseconds after which a request whose claim is not decided is rejected as not run. */
const CLAIM_TIMEOUT_MS = 1_000;

/** First and longest delay in milliseconds between attempts to write the record of a response. */
const RECORD_RETRY_MS = 250;
const MAX_RECORD_RETRY_MS = 5_000;

export interface ClaimRequest {
  readonly teamId: string | null;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A claim that this entry instance holds. Exactly one of the methods must be called, once. */
export interface HeldClaim {
  /** Ends the claim of a request that did not run: the key may be used again. */
  release(): void;
  /** Records that the request ran, and its response; `null` if the response is too large to be recorded. */
  complete(response: RecordedResponse | null): void;
  /** Records that the request may have run and its response is not known. */
  markOutcomeUnknown(): void;
}

export type ClaimResult =
  | { readonly kind: 'held'; readonly claim: HeldClaim }
  | { readonly kind: 'replay'; readonly response: RecordedResponse };

export interface ClaimsOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly membership: Membership;
  readonly counters: Counters;
  readonly logger: Logger;
}

/**
 * Claims idempotency keys before dispatch. A claim row is deleted only by its
 * holder after a request that did not run, or when it is a day old. A key that
 * has led to a dispatch therefore leads to no second one during that day.
 *
 * @example
 * ```ts
 * const result = await claims.claim({ teamId, idempotencyKey, fingerprint, deadlineAtMs, signal });
 * if (result.kind === 'held') result.claim.release();
 * ```
 */
export class Claims {
  private readonly writer: ClaimWriter;
  private readonly orphanRemover: OrphanClaimRemover;
  private readonly responses: ResponseStore;
  /** Ids of the claim attempts that are in progress or hold their claim. */
  private readonly activeAttemptIds = new Set<string>();
  private readonly pendingWrites = new Set<Promise<void>>();
  private isStopped = false;

  constructor(private readonly options: ClaimsOptions) {
    const { clock, table } = options;
    this.writer = new ClaimWriter(options);
    this.responses = new ResponseStore(options.objects);
    this.orphanRemover = new OrphanClaimRemover({ clock, table, writer: this.writer });
  }

  /** Claims the key. Rejects with `RequestError` if the request must not be dispatched. */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const self = this.options.membership.self();
    if (self === null) throw this.unavailableError('not_registered', null);
    const attempt = this.createAttempt(request, self);
    try {
      return await this.resolveAttempt(attempt);
    } catch (error) {
      this.activeAttemptIds.delete(attempt.row.attemptId);
      throw error;
    }
  }

  /** Waits up to `timeoutMs` milliseconds for pending writes and then abandons the remaining ones. */
  async stop(timeoutMs: number): Promise<void> {
    this.orphanRemover.stop();
    await Promise.race([Promise.all(this.pendingWrites), this.options.clock.delay(timeoutMs)]);
    this.isStopped = true;
  }

  private createAttempt(request: ClaimRequest, self: Member): ClaimAttempt {
    const row: ClaimRow = {
      state: 'claimed',
      memberId: self.memberId,
      incarnation: self.incarnation,
      attemptId: randomUUID(),
      fingerprint: request.fingerprint,
      claimedAtMs: this.options.clock.wallMs(),
    };
    this.activeAttemptIds.add(row.attemptId);
    const timeoutAtMs = Math.min(request.deadlineAtMs, this.options.clock.monotonicMs() + CLAIM_TIMEOUT_MS);
    const key = claimKey(request.teamId, request.idempotencyKey);
    return { key, row, timeoutAtMs, signal: request.signal };
  }

  private async resolveAttempt(attempt: ClaimAttempt): Promise<ClaimResult> {
    let expectedVersion: number | null = null;
    for (;;) {
      const result = await this.writeClaim(attempt, expectedVersion);
      if (result.kind === 'written') return this.heldClaim(attempt, result.version);
      if (result.kind === 'failed') {
        if (result.mayBeWritten) this.orphanRemover.watch(attempt.key, attempt.row.attemptId);
        throw this.unavailableError('table', result.cause);
      }
      if (result.row !== null && !this.isOrphan(result.row))
        return await this.resolveExisting(attempt, result.row);
      expectedVersion = result.row?.version ?? null;
    }
  }

  /** Writes the claim. Rejects as not run on timeout or when the caller disconnects. */
  private writeClaim(attempt: ClaimAttempt, expectedVersion: number | null): Promise<ClaimUpdateResult> {
    const { clock } = this.options;
    const { key, row, signal } = attempt;
    return new Promise((resolve, reject) => {
      let isWanted = true;
      const abandon = (error: RequestError): void => {
        isWanted = false;
        stopWatching();
        this.activeAttemptIds.delete(row.attemptId);
        reject(error);
      };
      const onAbort = (): void => {
        abandon(new RequestError(RESULT_CODES.callerGone, { outcome: 'not_run' }));
      };
      const timer = clock.schedule(Math.max(0, attempt.timeoutAtMs - clock.monotonicMs()), () => {
        abandon(this.unavailableError('timeout', null));
      });
      const stopWatching = (): void => {
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
      };
      signal.addEventListener('abort', onAbort);
      const options = { maxWaitMs: CLAIM_BATCH_WAIT_MS, isWanted: () => isWanted };
      void this.writer.submit({ key, expectedVersion, value: row }, options).then((result) => {
        stopWatching();
        if (isWanted) resolve(result);
        else this.cleanUpAbandoned(attempt, result);
      });
      if (signal.aborted) onAbort();
    });
  }

  /** Deletes a claim that was written only after its request had been rejected. */
  private cleanUpAbandoned(attempt: ClaimAttempt, result: ClaimUpdateResult): void {
    if (result.kind === 'written') this.deleteClaim(attempt, result.version);
    else if (result.kind === 'failed' && result.mayBeWritten) {
      this.orphanRemover.watch(attempt.key, attempt.row.attemptId);
    }
  }

  private heldClaim(attempt: ClaimAttempt, version: number | null): ClaimResult {
    const { row } = attempt;
    const claim: HeldClaim = {
      release: () => {
        this.activeAttemptIds.delete(row.attemptId);
        this.deleteClaim(attempt, version);
      },
      complete: (response) => {
        this.track(this.recordCompletion(attempt, version, response));
      },
      markOutcomeUnknown: () => {
        this.track(this.writeRecord(attempt, version, { ...row, state: 'unknown' }));
      },
    };
    return { kind: 'held', claim };
  }

  private async resolveExisting(attempt: ClaimAttempt, row: Row): Promise<ClaimResult> {
    const claim = claimRowSchema.parse(row.value);
    const holderState = this.options.membership.incarnationState(claim.memberId, claim.incarnation);
    const existing = evaluateExisting(claim, attempt.row.fingerprint, holderState);
    this.options.counters.increment('claims.existing', existing.kind);
    if (existing.kind === 'done') {
      this.activeAttemptIds.delete(attempt.row.attemptId);
      return { kind: 'replay', response: await this.replay(existing.response) };
    }
    throw requestErrorFor(existing);
  }

  private async replay(record: ResponseRecord): Promise<RecordedResponse> {
    const response = await this.responses.load(record).catch((error: unknown) => {
      const options = { outcome: 'ran', retryAfterS: 1, cause: error } as const;
      throw new RequestError(RESULT_CODES.platformUnavailable, options);
    });
    if (response === null) throw requestErrorFor({ kind: 'answer_not_kept' });
    return response;
  }

  /** Whether a row was left by an attempt of this process that was abandoned before dispatch. */
  private isOrphan(row: Row): boolean {
    const claim = claimRowSchema.parse(row.value);
    const isOwn = claim.incarnation === this.options.membership.self()?.incarnation;
    return claim.state === 'claimed' && isOwn && !this.activeAttemptIds.has(claim.attemptId);
  }

  private deleteClaim(attempt: ClaimAttempt, version: number | null): void {
    const { key, row } = attempt;
    const options = { maxWaitMs: RECORD_BATCH_WAIT_MS, isWanted: () => true };
    const removed = this.writer
      .submit({ key, expectedVersion: version, value: null }, options)
      .then((result) => {
        if (result.kind === 'failed') this.orphanRemover.watch(key, row.attemptId);
      });
    this.track(removed);
  }

  private async recordCompletion(
    attempt: ClaimAttempt,
    version: number | null,
    response: RecordedResponse | null,
  ): Promise<void> {
    const { row } = attempt;
    const record = response === null ? null : await this.storeResponse(row, response);
    await this.writeRecord(attempt, version, { ...row, state: 'done', answer: record });
  }

  /**
   * Stores the response and returns its record, `null` on failure. There are no
   * retries, so that the claim row soon shows that the request ran.
   */
  private async storeResponse(row: ClaimRow, response: RecordedResponse): Promise<ResponseRecord | null> {
    try {
      return await this.responses.store(response, row.attemptId, row.claimedAtMs);
    } catch {
      this.options.counters.increment('claims.answer_not_stored');
      return null;
    }
  }

  /**
   * Writes the record, with retries until the table responds. Until then, requests
   * with the same key are rejected as in progress.
   */
  private async writeRecord(attempt: ClaimAttempt, version: number | null, value: ClaimRow): Promise<void> {
    const { clock, counters, logger } = this.options;
    const options = { maxWaitMs: RECORD_BATCH_WAIT_MS, isWanted: () => !this.isStopped };
    for (let retries = 0; !this.isStopped; retries += 1) {
      const result = await this.writer.submit({ key: attempt.key, expectedVersion: version, value }, options);
      if (result.kind !== 'failed') break;
      counters.increment('claims.record_delayed');
      if (retries === 0) logger.warn(LOG_EVENTS.claimRecordDelayed, { reason: String(result.cause) });
      await clock.delay(Math.min(MAX_RECORD_RETRY_MS, RECORD_RETRY_MS * 2 ** retries));
    }
    this.activeAttemptIds.delete(attempt.row.attemptId);
  }

  private track(work: Promise<void>): void {
    const tracked: Promise<void> = work.finally(() => this.pendingWrites.delete(tracked));
    this.pendingWrites.add(tracked);
  }

  private unavailableError(reason: string, cause: unknown): RequestError {
    this.options.counters.increment('claims.refused', reason);
    this.options.logger.warn(LOG_EVENTS.claimsUnavailable, { reason });
    return new RequestError(RESULT_CODES.claimUnavailable, { outcome: 'not_run', retryAfterS: 1, cause });
  }
}

/** One attempt to claim a key. */
interface ClaimAttempt {
  readonly key: string;
  readonly row: ClaimRow;
  readonly timeoutAtMs: number;
  readonly signal: AbortSignal;
}

function requestErrorFor(existing: Exclude<ExistingClaim, { kind: 'done' }>): RequestError {
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
