/** Watches the placement lease and acquires it when the leader has stopped. */
import type { Clock } from '../kernel/clock';
import { RowFormatError } from '../scheduling/job_rows';
import { isStoreFailure, type RowStore, type StoredRow } from '../store/row_store';
import { momentOf, type Moment } from './validity_window';
import { decodeLease, encodeLease, LEASE_ADDRESS, NO_LEASE, type LeaseRow } from './lease_row';

/** How often the lease is read while another process holds it, in milliseconds. */
const WATCH_INTERVAL_MS = 450;

/**
 * Added to the length of the lease before it counts as expired, in milliseconds,
 * because the monotonic clocks of two machines drift apart.
 */
const TAKEOVER_MARGIN_MS = 150;

/**
 * A process on a small machine waits this long before it acquires a vacant lease,
 * in milliseconds: longer than a process on a larger machine takes to notice it.
 */
const DEFER_MS = 700;

export interface LeaseIdentity {
  readonly nodeName: string;
  readonly processId: string;
}

/** The lease as it was acquired. */
export interface AcquiredLease {
  readonly row: LeaseRow;
  readonly version: number;
  /** When the acquiring transaction was sent. */
  readonly sentAt: Moment;
}

export interface LeaderElectionOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly identity: LeaseIdentity;
  /** How long a leader may act after a renewal, in milliseconds. */
  readonly leaseMs: number;
  /** Whether a process on a far larger machine is known. */
  readonly hasLargerPeer: () => boolean;
  /** Called with the epoch of each leader that the row of the lease names. */
  readonly onEpoch?: (epoch: number) => void;
  /** Called whenever the row of the lease cannot be decoded; no process leads until it is repaired. */
  readonly onUnusableLease: (error: RowFormatError) => void;
}

/**
 * Acquires the lease once its row has not changed for the length of the lease,
 * or at once if it was released or its leader was an earlier process on the
 * same machine.
 *
 * @example
 * ```ts
 * const lease = await election.acquire(); // resolves once this process is the leader
 * ```
 */
export class LeaderElection {
  private stopped = false;
  private lastVersion = -1;
  private unchangedSinceMs = 0;
  /** Since when this process has seen the lease vacant without interruption. */
  private vacantSinceMs: number | null = null;
  private resignedEpoch = 0;
  private wakeUp: () => void = () => undefined;

  constructor(private readonly options: LeaderElectionOptions) {}

  stop(): void {
    this.stopped = true;
    this.wakeUp();
  }

  /** Handles the resignation of the leader of an epoch, whose lease may then be acquired at once. */
  onLeaderResigned(epoch: number): void {
    this.resignedEpoch = epoch;
    this.wakeUp();
  }

  /** Resolves with the lease, or with `null` after {@link stop}. */
  async acquire(): Promise<AcquiredLease | null> {
    while (!this.isStopped()) {
      const acquired = await this.attempt();
      if (acquired !== null) return acquired;
      await this.pause();
    }
    return null;
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.options.clock.schedule(WATCH_INTERVAL_MS, resolve);
      this.wakeUp = () => {
        timer.cancel();
        resolve();
      };
    });
  }

  private isStopped(): boolean {
    return this.stopped;
  }

  private async attempt(): Promise<AcquiredLease | null> {
    try {
      const row = await this.options.store.readOne(LEASE_ADDRESS);
      if (row !== null) this.options.onEpoch?.(decodeLease(row.value).epoch);
      if (!this.isVacant(row)) {
        this.vacantSinceMs = null;
        return null;
      }
      if (this.stopped || this.mustDefer(row)) return null;
      return await this.takeOver(row);
    } catch (error) {
      // Without the epoch of the last leader no token would be higher than its own.
      if (error instanceof RowFormatError) this.options.onUnusableLease(error);
      else if (!isStoreFailure(error)) throw error;
      // A leader cannot renew while the store is unavailable, so the time without a change starts again.
      this.lastVersion = -1;
      return null;
    }
  }

  /** Whether a process on a larger machine should get the vacant lease first. */
  private mustDefer(row: StoredRow | null): boolean {
    const nowMs = this.options.clock.monotonicMs();
    this.vacantSinceMs ??= nowMs;
    // The leader that resigned has chosen this process as its successor.
    const isChosen = row !== null && decodeLease(row.value).epoch === this.resignedEpoch;
    if (isChosen || !this.options.hasLargerPeer()) return false;
    return nowMs - this.vacantSinceMs < DEFER_MS;
  }

  private isVacant(row: StoredRow | null): boolean {
    if (row === null) return true;
    const lease = decodeLease(row.value);
    const { nodeName, processId } = this.options.identity;
    if (lease.processId === '' || lease.processId === processId) return true;
    if (lease.nodeName === nodeName || lease.epoch === this.resignedEpoch) return true;
    const nowMs = this.options.clock.monotonicMs();
    if (row.version !== this.lastVersion) {
      this.lastVersion = row.version;
      this.unchangedSinceMs = nowMs;
    }
    return nowMs - this.unchangedSinceMs >= this.options.leaseMs + TAKEOVER_MARGIN_MS;
  }

  private async takeOver(row: StoredRow | null): Promise<AcquiredLease | null> {
    const previous = row === null ? NO_LEASE : decodeLease(row.value);
    const next = { ...this.options.identity, epoch: previous.epoch + 1, sequence: 0 };
    const sentAt = momentOf(this.options.clock);
    const result = await this.options.store.transact({
      conditions: [{ ...LEASE_ADDRESS, version: row?.version ?? 0 }],
      writes: [{ ...LEASE_ADDRESS, value: encodeLease(next) }],
    });
    if (result.kind === 'conflict') return null;
    return { row: next, version: result.version, sentAt };
  }
}
