/**
 * What all clients of a process hold at the moment. Applies the decisions of `ClientLimits`
 * with one sweep for all connections and bodies, and reports them.
 */
import type { Clock } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS, type LogEvent } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { BodyRejection, BodyView, ClientLimits, CloseReason, RefusalReason } from './client_limits';

/** Interval of the sweep, in milliseconds; time limits are exact to one sweep. */
const SWEEP_INTERVAL_MS = 1_000;

/**
 * Time by which one sweep may age connections, in milliseconds. A process that was paused, or
 * is overloaded, has not yet read what its clients have sent meanwhile.
 */
const MAX_SWEEP_STEP_MS = 1_500;

/** Something that holds resources for a client and is checked by each sweep. */
export abstract class SweptConnection {
  abstract readonly remoteAddress: string;
  /** Updates what has been seen of the connection by `nowMs`, and closes it if a limit requires it. */
  abstract sweep(nowMs: number, isMemoryShort: boolean): void;
}

/** A body that is being received. */
export abstract class HeldBody implements BodyView {
  abstract readonly startedAtMs: number;
  abstract readonly progressAtMs: number;
  abstract readonly heldBytes: number;
  abstract readonly chunks: number;
  /** Whether it was added with `addSmallChunkedBody`. */
  abstract readonly isSmallChunked: boolean;
  abstract readonly remoteAddress: string;
  /** Stops receiving and releases what is held. */
  abstract reject(reason: BodyRejection): void;
}

export interface ClientGuardOptions {
  readonly limits: ClientLimits;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Resident memory of the process, in bytes. */
  readonly readResidentBytes: () => number;
}

/** Decisions of one kind since the last sweep. */
interface Tally {
  readonly event: LogEvent;
  readonly counts: Record<string, number>;
  /** Address of the first client that was affected. */
  readonly remoteAddress: string;
}

/**
 * @example
 * ```ts
 * const guard = new ClientGuard({ limits, clock, counters, logger, readResidentBytes });
 * const server = await HttpServer.listen({ app, host, port, clients: { guard, kind: 'callers' } });
 * ```
 */
export class ClientGuard {
  readonly limits: ClientLimits;
  private readonly connections = new Set<SweptConnection>();
  private readonly bodies = new Set<HeldBody>();
  private readonly tallies = new Map<number, Tally>();
  private readonly deferred: (() => void)[] = [];
  private smallChunkedBodies = 0;
  private heldBytes = 0;
  private heldChunks = 0;
  private bodyBudgetBytes: number;
  private isMemoryShort = false;
  private sweepTimeMs = 0;
  private lastSweepAtMs = 0;
  private isSweepScheduled = false;

  constructor(private readonly options: ClientGuardOptions) {
    this.limits = options.limits;
    this.bodyBudgetBytes = this.limits.bodyBudgetBytes(0, 0);
  }

  /** Time of the last sweep, which advances only while the process runs. */
  nowMs(): number {
    return this.sweepTimeMs;
  }

  addConnection(connection: SweptConnection): void {
    this.connections.add(connection);
    this.scheduleSweep();
  }

  removeConnection(connection: SweptConnection): void {
    this.connections.delete(connection);
  }

  addBody(body: HeldBody): void {
    this.bodies.add(body);
    this.scheduleSweep();
  }

  /** Accounts for a chunk; drops other bodies, or this one, if all of them together exceed a limit. */
  growBody(heldBytes: number, chunks: number): void {
    this.heldBytes += heldBytes;
    this.heldChunks += chunks;
    for (;;) {
      const totals = { bytes: this.heldBytes, chunks: this.heldChunks };
      const exceeded = this.limits.totalsRejection(totals, this.bodyBudgetBytes);
      if (exceeded === null) return;
      const body = this.limits.bodyToDrop(this.bodies, this.sweepTimeMs, exceeded);
      if (body === null) return;
      body.reject(exceeded);
    }
  }

  /** Returns whether the body, which comes in small chunks, may be received further. */
  addSmallChunkedBody(): boolean {
    if (!this.limits.mayReceiveSmallChunks(this.smallChunkedBodies)) return false;
    this.smallChunkedBodies += 1;
    return true;
  }

  removeBody(body: HeldBody): void {
    if (!this.bodies.delete(body)) return;
    if (body.isSmallChunked) this.smallChunkedBodies -= 1;
    this.heldBytes -= body.heldBytes;
    this.heldChunks -= body.chunks;
  }

  /** Runs `callback` in a later turn of the event loop, one callback a turn. */
  defer(callback: () => void): void {
    this.deferred.push(callback);
    if (this.deferred.length === 1) setImmediate(this.runDeferred);
  }

  countRefused(reason: RefusalReason, remoteAddress: string): void {
    this.count('clients.connection_refused', LOG_EVENTS.clientConnectionsRefused, reason, remoteAddress);
  }

  countClosed(reason: CloseReason, remoteAddress: string): void {
    this.count('clients.connection_closed', LOG_EVENTS.clientConnectionsClosed, reason, remoteAddress);
  }

  countRejected(reason: BodyRejection | 'no_host', remoteAddress: string): void {
    this.count('clients.request_rejected', LOG_EVENTS.clientRequestsRejected, reason, remoteAddress);
  }

  private readonly runDeferred = (): void => {
    const callback = this.deferred.shift();
    if (this.deferred.length > 0) setImmediate(this.runDeferred);
    callback?.();
  };

  private count(counter: string, event: LogEvent, reason: string, remoteAddress: string): void {
    this.options.counters.increment(counter, reason);
    const tally = this.tallies.get(event.id) ?? { event, counts: {}, remoteAddress };
    tally.counts[reason] = (tally.counts[reason] ?? 0) + 1;
    this.tallies.set(event.id, tally);
    this.scheduleSweep();
  }

  private scheduleSweep(): void {
    if (this.isSweepScheduled) return;
    this.isSweepScheduled = true;
    this.lastSweepAtMs = this.options.clock.monotonicMs();
    this.scheduleNextSweep();
  }

  private scheduleNextSweep(): void {
    this.options.clock.schedule(SWEEP_INTERVAL_MS, () => {
      this.sweep();
    });
  }

  /** There is no sweep while there are no clients, so that an idle process is not woken. */
  private sweep(): void {
    const nowMs = this.options.clock.monotonicMs();
    const elapsedMs = nowMs - this.lastSweepAtMs;
    this.lastSweepAtMs = nowMs;
    this.sweepTimeMs += Math.min(elapsedMs, MAX_SWEEP_STEP_MS);
    this.updateMemory();
    for (const connection of this.connections) connection.sweep(this.sweepTimeMs, this.isMemoryShort);
    for (const body of this.bodies) {
      const reason = this.limits.bodyTimeout(body, this.sweepTimeMs);
      if (reason !== null) body.reject(reason);
    }
    this.growBody(0, 0);
    this.logTallies(elapsedMs);
    this.isSweepScheduled = this.connections.size > 0 || this.bodies.size > 0;
    if (this.isSweepScheduled) this.scheduleNextSweep();
  }

  private updateMemory(): void {
    const residentBytes = this.options.readResidentBytes();
    const wasMemoryShort = this.isMemoryShort;
    this.isMemoryShort = this.limits.isMemoryShort(residentBytes);
    this.bodyBudgetBytes = this.limits.bodyBudgetBytes(residentBytes, this.heldBytes);
    if (!this.isMemoryShort || wasMemoryShort) return;
    this.options.counters.increment('clients.memory_short');
    this.options.logger.warn(LOG_EVENTS.clientMemoryShort, {
      residentBytes,
      heldBytes: this.heldBytes,
      bodies: this.bodies.size,
      connections: this.connections.size,
      budgetBytes: this.bodyBudgetBytes,
    });
  }

  private logTallies(elapsedMs: number): void {
    for (const { event, counts, remoteAddress } of this.tallies.values()) {
      this.options.logger.warn(event, {
        counts,
        remoteAddress,
        connections: this.connections.size,
        bodies: this.bodies.size,
        heldBytes: this.heldBytes,
        heldChunks: this.heldChunks,
        elapsedMs: Math.round(elapsedMs),
      });
    }
    this.tallies.clear();
  }
}
