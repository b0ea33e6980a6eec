/** The configuration in use on this entry instance, and the way to change it. */
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

/** Published after a newer configuration has been loaded. */
export const CONFIGURATION_CHANGED = eventType<{ readonly head: Head }>('config.changed');

/** Published when the membership epoch in the head has changed. */
export const MEMBERSHIP_EPOCH_CHANGED = eventType<{ readonly head: Head }>('config.membership_changed');

/** Interval between looks at the freshness while work waits for it, in milliseconds. */
const FRESHNESS_RECHECK_MS = 20;

export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly log: ChangeLog;
  readonly barrier: PropagationBarrier;
  /** Without it, this instance is the only one: it needs no peers and no membership. */
  readonly exchange?: HeadExchange;
  /** The guard that `exchange` feeds; a new one if absent. */
  readonly guard?: FreshnessGuard;
  readonly onLoaded: (previous: Head, current: Head) => void;
}

/** Computes a change from the current state, or `null` if there is nothing to change. */
export type ChangeBuilder = (state: ConfigurationState) => Change | null;

export class ConfigurationService {
  readonly guard: FreshnessGuard;
  private snapshot: ConfigurationSnapshot | null = null;
  private reading: Promise<void> | null = null;

  constructor(private readonly options: ConfigurationServiceOptions) {
    this.guard = options.guard ?? new FreshnessGuard(options.clock);
  }

  /** The configuration in use. Callers check {@link isFresh} in the same turn before they act on it. */
  fleet(): FleetConfiguration {
    return this.state().fleet;
  }

  /** Whether work may be admitted and dispatched on the configuration in use. */
  isFresh(): boolean {
    if (this.snapshot === null) return false;
    if (this.guard.isFresh()) return true;
    this.options.exchange?.usePromises();
    return this.guard.isFresh();
  }

  /**
   * Resolves with whether the configuration is fresh, or becomes so within
   * `limitMs` milliseconds. A newer head makes it stale for the moment that
   * loading takes; work that can wait that long need not be refused.
   */
  async untilFresh(limitMs: number): Promise<boolean> {
    const { clock } = this.options;
    const endMs = clock.monotonicMs() + limitMs;
    while (!this.isFresh()) {
      const leftMs = endMs - clock.monotonicMs();
      if (leftMs <= 0) return false;
      const refreshed = this.refresh().catch(() => undefined);
      await Promise.race([refreshed, clock.delay(leftMs)]);
      // The membership is loaded apart from the configuration, and a failed read must not be repeated at once.
      if (!this.isFresh()) await clock.delay(Math.min(FRESHNESS_RECHECK_MS, leftMs));
    }
    return true;
  }

  /** The configuration in use with its ticket numbers. */
  state(): ConfigurationState {
    if (this.snapshot === null) throw new Error('The configuration has not been loaded yet.');
    return this.snapshot.state;
  }

  /** The head of the configuration in use. */
  head(): Head {
    return this.snapshot?.head ?? INITIAL_HEAD;
  }

  /** Brings the configuration up to date with the table. Throws `TableUnavailableError`. */
  refresh(): Promise<void> {
    this.reading ??= this.readOnce().finally(() => {
      this.reading = null;
    });
    return this.reading;
  }

  /**
   * Commits the change that `build` makes and resolves once it is in effect
   * everywhere. `conflict` means that somebody else changed the head first;
   * the configuration has then been refreshed and the caller may try again.
   * Throws `RequestError` while this instance is not an active member,
   * `TableUnavailableError` if surely nothing was written, and
   * `TableOutcomeUnknownError` if the change may have been written.
   */
  async change(build: ChangeBuilder, extras: CommitExtras = {}): Promise<CommitResult | 'unchanged'> {
    this.requireActive();
    await this.refresh();
    const base = this.snapshot;
    if (base === null) throw new TableUnavailableError('The configuration has not been loaded yet.');
    const change = build(base.state);
    if (change === null) return 'unchanged';
    // A member that was fenced takes part in nobody's promises, so it must not commit.
    if (this.options.exchange?.mayCommitAfter(base.head) === false) return 'conflict';
    const pending = this.options.barrier.begin();
    try {
      return await this.finish(await this.options.log.commit(base, change, extras), pending);
    } catch (error) {
      if (error instanceof CommitOutcomeUnknownError) this.finishLater(error.settled, pending);
      else pending.end();
      throw error;
    }
  }

  /** Resolves once everything that is in the table now is in effect everywhere. */
  async untilInEffect(): Promise<void> {
    await this.refresh();
    // The first call may have joined a read that had begun before this call.
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
      this.adopt(outcome.snapshot);
      await pending.untilInEffect(outcome.snapshot.head);
    }
    pending.end();
    if (outcome.kind === 'conflict') await this.refresh();
    return outcome.kind;
  }

  /** No promise may be given until the outcome is known, however long that takes. */
  private finishLater(settled: Promise<CommitOutcome>, pending: PendingCommit): void {
    void settled
      .then((outcome) => this.finish(outcome, pending))
      .catch(() => {
        // Only the refresh after a conflict can fail; the next poll repeats it.
      });
  }

  private async readOnce(): Promise<void> {
    const previous = this.snapshot;
    if (previous === null) {
      this.adopt(await this.options.log.load());
    } else {
      const expectsChange = !coversHead(previous.head, this.guard.newest());
      this.adopt(await this.options.log.follow(previous, expectsChange));
    }
  }

  /** Takes a snapshot into use. A read that was overtaken by a commit must not bring back the older head. */
  private adopt(next: ConfigurationSnapshot): void {
    const previous = this.snapshot;
    this.guard.observe({ head: next.head, asOfMs: next.asOfMs, source: 'table' });
    if (previous !== null && !coversHead(next.head, previous.head)) return;
    this.snapshot = next;
    this.guard.setView(next.head);
    this.options.onLoaded(previous?.head ?? INITIAL_HEAD, next.head);
  }
}
