/** Holds the configuration in use on this entry instance and commits changes to it. */
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { eventType } from '../kernel/events';
import type { FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { TableUnavailableError } from '../platform/table_service';
import {
  ChangeLog,
  CommitOutcomeUnknownError,
  type CommitExtras,
  type CommitOutcome,
  type CommitResult,
  type ConfigurationSnapshot,
} from './change_log';
import type { Change, ConfigurationState } from './change';
import type { PropagationBarrier, PendingCommit } from './propagation_barrier';
import { FreshnessGuard } from './freshness';
import { coversHead, INITIAL_HEAD, type Head } from './head';
import type { HeadExchange } from './head_exchange';

export const CONFIGURATION = capability<ConfigurationService>('config.configuration');

/** Published after a newer revision of the configuration has been loaded. */
export const CONFIGURATION_CHANGED = eventType<{ readonly head: Head }>('config.changed');

/** Published when the membership epoch in the head has changed, before the members of that epoch are loaded. */
export const MEMBERSHIP_EPOCH_CHANGED = eventType<{ readonly head: Head }>('config.membership_changed');

/** Interval between freshness checks while work waits for a fresh configuration, in milliseconds. */
const FRESHNESS_RECHECK_MS = 20;

export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly log: ChangeLog;
  readonly barrier: PropagationBarrier;
  /** Absent for a single instance, which needs no peers and no membership. */
  readonly exchange?: HeadExchange;
  /** The guard to which `exchange` reports evidence; a new one if absent. */
  readonly guard?: FreshnessGuard;
  readonly onLoaded: (previous: Head, current: Head) => void;
}

/** Computes a change from the current state; returns `null` if there is nothing to change. */
export type ChangeBuilder = (state: ConfigurationState) => Change | null;

export class ConfigurationService {
  readonly guard: FreshnessGuard;
  private snapshot: ConfigurationSnapshot | null = null;
  private pendingRefresh: Promise<void> | null = null;

  constructor(private readonly options: ConfigurationServiceOptions) {
    this.guard = options.guard ?? new FreshnessGuard(options.clock);
  }

  /**
   * The configuration in use. Callers check {@link isFresh} in the same event-loop
   * turn before they act on it.
   */
  fleet(): FleetConfiguration {
    return this.state().fleet;
  }

  /** Whether work may be admitted and dispatched on the configuration in use. */
  isFresh(): boolean {
    if (this.snapshot === null) return false;
    if (this.guard.isFresh()) return true;
    this.options.exchange?.observeConfirmations();
    return this.guard.isFresh();
  }

  /**
   * Waits up to `limitMs` milliseconds for the configuration to be fresh, and
   * resolves with whether it is. A newer head makes the configuration stale
   * until that head is loaded; work that can wait for this need not be rejected.
   */
  async untilFresh(limitMs: number): Promise<boolean> {
    const { clock } = this.options;
    const deadlineMs = clock.monotonicMs() + limitMs;
    while (!this.isFresh()) {
      const remainingMs = deadlineMs - clock.monotonicMs();
      if (remainingMs <= 0) return false;
      const refreshed = this.refresh().catch(() => undefined);
      await Promise.race([refreshed, clock.delay(remainingMs)]);
      // The membership is loaded separately, and a failed read must not be retried immediately.
      if (!this.isFresh()) await clock.delay(Math.min(FRESHNESS_RECHECK_MS, remainingMs));
    }
    return true;
  }

  /** The configuration in use and the ticket numbers of its objects. */
  state(): ConfigurationState {
    if (this.snapshot === null) throw new Error('The configuration has not been loaded yet.');
    return this.snapshot.state;
  }

  /** The head of the configuration in use. */
  head(): Head {
    return this.snapshot?.head ?? INITIAL_HEAD;
  }

  /**
   * Loads what has changed in the table; joins a read that is already in progress.
   * Throws `TableUnavailableError`.
   */
  refresh(): Promise<void> {
    this.pendingRefresh ??= this.load().finally(() => {
      this.pendingRefresh = null;
    });
    return this.pendingRefresh;
  }

  /**
   * Commits the change that `build` returns and resolves once it is in effect
   * on every entry instance. `conflict` means that another writer changed the
   * head first; the configuration has been refreshed and the caller may retry.
   * Throws `RequestError` while this instance is not an active member,
   * `TableUnavailableError` if the change was not applied and the call is safe
   * to retry, and `TableOutcomeUnknownError` if it may have been applied.
   */
  async change(build: ChangeBuilder, extras: CommitExtras = {}): Promise<CommitResult | 'unchanged'> {
    this.requireActive();
    await this.refresh();
    const base = this.snapshot;
    if (base === null) throw new TableUnavailableError('The configuration has not been loaded yet.');
    const change = build(base.state);
    if (change === null) return 'unchanged';
    // A fenced member must not commit: the others no longer need its confirmation, so they could
    // stay fresh without having loaded the change.
    if (this.options.exchange?.mayCommitOn(base.head) === false) return 'conflict';
    const pending = this.options.barrier.begin();
    try {
      return await this.finish(await this.options.log.commit(base, change, extras), pending);
    } catch (error) {
      if (error instanceof CommitOutcomeUnknownError) this.finishLater(error.outcome, pending);
      else pending.end();
      throw error;
    }
  }

  /**
   * Resolves once every change that is in the table at the time of the call is in
   * effect on every entry instance.
   */
  async untilInEffect(): Promise<void> {
    await this.refresh();
    // The first refresh may have joined a read that began before this call.
    await this.refresh();
    const pending = this.options.barrier.begin();
    try {
      await pending.untilInEffect(this.head());
    } finally {
      pending.end();
    }
  }

  private requireActive(): void {
    if (this.options.exchange?.isActive() === false) {
      throw new RequestError(RESULT_CODES.notActive, { outcome: 'not_run', retryAfterS: 1 });
    }
  }

  private async finish(outcome: CommitOutcome, pending: PendingCommit): Promise<CommitResult> {
    if (outcome.kind === 'committed') {
      this.applySnapshot(outcome.snapshot);
      await pending.untilInEffect(outcome.snapshot.head);
    }
    pending.end();
    if (outcome.kind === 'conflict') await this.refresh();
    return outcome.kind;
  }

  /**
   * Finishes a commit in the background once its outcome is known. Until then, however
   * long it takes, the head is not confirmed to peers.
   */
  private finishLater(pendingOutcome: Promise<CommitOutcome>, pending: PendingCommit): void {
    void pendingOutcome
      .then((outcome) => this.finish(outcome, pending))
      .catch(() => {
        // Only the refresh after a conflict can fail; the next poll retries it.
      });
  }

  private async load(): Promise<void> {
    const previous = this.snapshot;
    if (previous === null) {
      this.applySnapshot(await this.options.log.load());
    } else {
      const expectsChange = !coversHead(previous.head, this.guard.newestHead());
      this.applySnapshot(await this.options.log.loadSince(previous, expectsChange));
    }
  }

  /**
   * Puts a snapshot into use unless it is older than the current one, because a slow
   * read must not undo a commit that finished during the read.
   */
  private applySnapshot(next: ConfigurationSnapshot): void {
    const previous = this.snapshot;
    this.guard.observe({ head: next.head, asOfMs: next.asOfMs, source: 'table' });
    if (previous !== null && !coversHead(next.head, previous.head)) return;
    this.snapshot = next;
    this.guard.setLoadedHead(next.head);
    this.options.onLoaded(previous?.head ?? INITIAL_HEAD, next.head);
  }
}
