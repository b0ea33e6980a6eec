/** The configuration in use on this entry instance, and the way to change it. */
import { capability } from '../kernel/capability';
import type { Clock } from '../kernel/clock';
import { eventType } from '../kernel/events';
import type { FleetConfiguration } from '../model/fleet';
import { TableUnavailableError } from '../platform/table_service';
import { ChangeLog, type CommitExtras, type CommitResult, type ConfigurationSnapshot } from './change_log';
import type { Change, ConfigurationState } from './change';
import type { EffectBarrier } from './effect_barrier';
import { FreshnessGuard } from './freshness';
import { INITIAL_HEAD, type Head } from './head';

export const CONFIGURATION = capability<ConfigurationService>('config.configuration');

/** Published after a newer configuration has been loaded. */
export const CONFIGURATION_CHANGED = eventType<{ readonly head: Head }>('config.changed');

/** Published when the membership epoch in the head has changed. */
export const MEMBERSHIP_CHANGED = eventType<{ readonly head: Head }>('config.membership_changed');

export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly log: ChangeLog;
  readonly barrier: EffectBarrier;
  readonly onLoaded: (previous: Head, current: Head) => void;
}

/** Computes a change from the current state, or `null` if there is nothing to change. */
export type ChangeBuilder = (state: ConfigurationState) => Change | null;

export class ConfigurationService {
  readonly guard: FreshnessGuard;
  private snapshot: ConfigurationSnapshot | null = null;
  private reading: Promise<void> | null = null;

  constructor(private readonly options: ConfigurationServiceOptions) {
    this.guard = new FreshnessGuard(options.clock);
  }

  /** The configuration in use. Callers check {@link isFresh} in the same turn before they act on it. */
  fleet(): FleetConfiguration {
    return this.state().fleet;
  }

  /** Whether work may be admitted and dispatched on the configuration in use. */
  isFresh(): boolean {
    return this.snapshot !== null && this.guard.isFresh();
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
   */
  async change(build: ChangeBuilder, extras: CommitExtras = {}): Promise<CommitResult | 'unchanged'> {
    await this.refresh();
    const base = this.snapshot;
    if (base === null) throw new TableUnavailableError('The configuration has not been loaded yet.');
    const change = build(base.state);
    if (change === null) return 'unchanged';
    const pending = this.options.barrier.begin();
    try {
      const result = await this.options.log.commit(base, change, extras);
      await this.refresh();
      if (result === 'committed') await pending.untilInEffect({ ...base.head, revision: change.revision });
      return result;
    } finally {
      pending.end();
    }
  }

  private async readOnce(): Promise<void> {
    const previous = this.snapshot;
    const next = previous ? await this.options.log.follow(previous) : await this.options.log.load();
    this.snapshot = next;
    this.guard.setView(next.head);
    this.guard.observe({ head: next.head, asOfMs: next.asOfMs });
    this.options.onLoaded(previous?.head ?? INITIAL_HEAD, next.head);
  }
}
