/** Watches the lease of the placement role and takes it over when its holder is gone. */
import type { Clock } from '../kernel/clock';
import { isStoreFailure, type RowStore, type StoredRow } from '../store/row_store';
import { decodeLease, encodeLease, LEASE_ADDRESS, NO_LEASE, type LeaseRow } from './lease_row';

/** How often the lease is read while another process holds it, in milliseconds. */
const WATCH_INTERVAL_MS = 450;

/** Added to the lease before it is taken over, in milliseconds, for the drift of two steady clocks. */
const TAKEOVER_MARGIN_MS = 150;

/** A process on a small machine leaves a vacant lease to others for this long, in milliseconds: longer than they take to notice it. */
const DEFER_MS = 700;

export interface LeaseIdentity {
  readonly nodeName: string;
  readonly processId: string;
}

/** The lease at the moment it was acquired. */
export interface AcquiredLease {
  readonly row: LeaseRow;
  readonly version: number;
  /** When the acquiring transaction was sent, on the process's steady clock. */
  readonly sentAtMs: number;
}

export interface LeaderElectionOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly identity: LeaseIdentity;
  /** Time for which a holder may act after a renewal, in milliseconds. */
  readonly leaseMs: number;
  /** Whether a process on a far larger machine is known. */
  readonly hasLargerPeer: () => boolean;
}

/**
 * Acquires the lease once its row has not changed for the length of the lease,
 * or at once if it was given back or its holder was an earlier process on the
 * same machine.
 *
 * @example
 * ```ts
 * const lease = await watch.acquire(); // resolves once this process holds the role
 * ```
 */
export class LeaderElection {
  private stopped = false;
  private lastVersion = -1;
  private unchangedSinceMs = 0;
  /** Since when the lease has been vacant without a break, as far as this process has seen. */
  private vacantSinceMs: number | null = null;
  private resignedEpoch = 0;
  private wake: () => void = () => undefined;

  constructor(private readonly options: LeaderElectionOptions) {}

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  /** The holder of this epoch has stopped: its lease may be taken over at once. */
  onLeaderResigned(epoch: number): void {
    this.resignedEpoch = epoch;
    this.wake();
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
      this.wake = () => {
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
      if (!this.isVacant(row)) {
        this.vacantSinceMs = null;
        return null;
      }
      if (this.stopped || this.mustDefer(row)) return null;
      return await this.takeOver(row);
    } catch (error) {
      if (!isStoreFailure(error)) throw error;
      // A holder cannot renew while the store is away: its time counts anew.
      this.lastVersion = -1;
      return null;
    }
  }

  /** Whether a stronger process should have the chance to take the vacant lease first. */
  private mustDefer(row: StoredRow | null): boolean {
    const nowMs = this.options.clock.monotonicMs();
    this.vacantSinceMs ??= nowMs;
    // The holder that resigned has chosen this process itself.
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
    const before = row === null ? NO_LEASE : decodeLease(row.value);
    const next = { ...this.options.identity, epoch: before.epoch + 1, sequence: 0 };
    const sentAtMs = this.options.clock.monotonicMs();
    const result = await this.options.store.transact({
      conditions: [{ ...LEASE_ADDRESS, version: row?.version ?? 0 }],
      writes: [{ ...LEASE_ADDRESS, value: encodeLease(next) }],
    });
    if (result.kind === 'conflict') return null;
    return { row: next, version: result.version, sentAtMs };
  }
}
