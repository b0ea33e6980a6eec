/**
 * Decides what clients may hold in a process: connections, requests, bodies and unread
 * responses. Every server and body reader asks here; nothing else has such limits.
 */
import type { ClientLimitSettings } from './client_limit_settings';

/** The servers of a process. All but `callers` serve the process's own system. */
export type ServerKind = 'callers' | 'readiness' | 'internal' | 'operators';

/** What the machine of the process allows; `null` if it is not stated. */
export interface MachineLimits {
  readonly memoryBytes: number | null;
  readonly maxDescriptors: number | null;
}

/** What one connection is doing. `lingering`: it was answered before its body had arrived. */
export type ConnectionPhase = 'idle' | 'headers' | 'busy' | 'lingering';

/** State of one connection, in time of the process's sweeps. */
export interface ConnectionView {
  readonly phase: ConnectionPhase;
  readonly phaseSinceMs: number;
  /** Bytes of responses that wait for the client to read. */
  readonly unsentBytes: number;
  /** Since when the client has read nothing of them. */
  readonly unsentSinceMs: number;
}

/**
 * What would be lost if a connection was closed: `answered` lingers after its last response,
 * `silent` has sent nothing, `waiting` has no request in progress.
 */
export type EvictionRank = 'answered' | 'silent' | 'waiting' | 'in_progress';

/** A connection that may make way for a new one. */
export interface EvictionView {
  readonly evictionRank: () => EvictionRank;
  readonly phaseSinceMs: number;
}

/** State of one body that is being received, in time of the process's sweeps. */
export interface BodyView {
  readonly startedAtMs: number;
  /** When a byte arrived last. */
  readonly progressAtMs: number;
  readonly heldBytes: number;
  readonly chunks: number;
}

/** Sums over all bodies that are being received. */
export interface BodyTotals {
  readonly bytes: number;
  readonly chunks: number;
}

export type RefusalReason = 'connections' | 'address';

export type CloseReason = 'headers' | 'idle' | 'lingering' | 'unread' | 'pipelined' | 'evicted' | 'memory';

/** Why a body is not read any further; all of these mean that the request has not run. */
export type BodyRejection =
  'body_too_large' | 'body_chunks' | 'body_timeout' | 'body_stalled' | 'body_memory' | 'body_aborted';

/** Descriptors that are assumed for a machine that states none; the smallest machines have as many. */
const DEFAULT_MAX_DESCRIPTORS = 4_100;

/** Part of the memory of the machine that bodies may take, and their least budget under memory pressure. */
const BODY_SHARE_OF_MEMORY = 1 / 8;
const MIN_BODY_BUDGET_BYTES = 2 ** 20;

/** Bytes that bodies may take on a machine that does not state its memory; the share of the smallest machines. */
const DEFAULT_BODY_BUDGET_BYTES = 32 * 2 ** 20;

/** Mean size below which chunks are small, in bytes; the largest body in chunks of this size has 4,096 of them. */
const SMALL_CHUNK_BYTES = 64;

/** Time for which the response to a rejected body stays readable before its connection is closed, in milliseconds. */
const LINGER_MS = 1_000;

export class ClientLimits {
  /** Resident memory above which clients are dropped; infinite if the memory of the machine is not stated. */
  private readonly softMemoryBytes: number;
  private readonly usualBodyBudgetBytes: number;
  private readonly maxDescriptors: number;

  constructor(
    readonly settings: ClientLimitSettings,
    machine: MachineLimits,
  ) {
    const { memoryBytes } = machine;
    const { clientMaxBufferedBytes, clientMaxMemoryPercent } = settings;
    this.softMemoryBytes = ((memoryBytes ?? Number.POSITIVE_INFINITY) * clientMaxMemoryPercent) / 100;
    const derivedBytes =
      memoryBytes === null ? DEFAULT_BODY_BUDGET_BYTES : memoryBytes * BODY_SHARE_OF_MEMORY;
    this.usualBodyBudgetBytes = clientMaxBufferedBytes > 0 ? clientMaxBufferedBytes : derivedBytes;
    this.maxDescriptors = machine.maxDescriptors ?? DEFAULT_MAX_DESCRIPTORS;
  }

  /** Connections that a server may have open. */
  maxConnections(kind: ServerKind): number {
    const { clientReservedConnections, clientReservedDescriptors, clientMaxConnections } = this.settings;
    const reserved = Math.min(clientReservedConnections, Math.floor(this.maxDescriptors / 8));
    if (kind !== 'callers') return reserved;
    if (clientMaxConnections > 0) return clientMaxConnections;
    // A machine with few descriptors still serves callers with a quarter of them.
    const remaining = this.maxDescriptors - clientReservedDescriptors - 2 * reserved;
    return Math.max(Math.floor(this.maxDescriptors / 4), remaining);
  }

  /** Whether a new connection exceeds a limit; `open` and `fromAddress` do not count it. */
  connectionRefusal(kind: ServerKind, open: number, fromAddress: number): RefusalReason | null {
    const { clientMaxConnectionsPerAddress: perAddress } = this.settings;
    if (perAddress > 0 && fromAddress >= perAddress) return 'address';
    return open >= this.maxConnections(kind) ? 'connections' : null;
  }

  /**
   * The connection that makes way for a new one: the oldest that was answered or has sent
   * nothing, else the one that has waited longest for its next request. New connections are
   * preferred to idle ones, since otherwise idle connections could lock out all callers.
   */
  connectionToEvict<Connection extends EvictionView>(oldestFirst: Iterable<Connection>): Connection | null {
    let chosen: Connection | null = null;
    for (const connection of oldestFirst) {
      const rank = connection.evictionRank();
      if (rank === 'answered' || rank === 'silent') return connection;
      if (rank === 'in_progress') continue;
      if (chosen === null || connection.phaseSinceMs < chosen.phaseSinceMs) chosen = connection;
    }
    return chosen;
  }

  /** Whether one more request of a connection is too many. */
  isPipelineFull(unansweredRequests: number): boolean {
    return unansweredRequests >= this.settings.clientMaxRequestsPerConnection;
  }

  /** Whether a request of a connection may be processed now, or waits for those before it. */
  mayProcess(requestsInProgress: number, isClientReading: boolean): boolean {
    if (requestsInProgress === 0) return isClientReading;
    return isClientReading && requestsInProgress < this.settings.clientMaxRequestsInProgress;
  }

  /** Why a connection is to be closed now, if it is. */
  closeReason(connection: ConnectionView, nowMs: number, isMemoryShort: boolean): CloseReason | null {
    const { clientHeaderTimeoutMs, clientIdleTimeoutMs, clientResponseTimeoutMs } = this.settings;
    const { phase, unsentBytes } = connection;
    const phaseMs = nowMs - connection.phaseSinceMs;
    const unreadMs = nowMs - connection.unsentSinceMs;
    if (unsentBytes > 0 && unreadMs >= clientResponseTimeoutMs) return 'unread';
    if (isMemoryShort && unsentBytes > 0 && unreadMs > 0) return 'memory';
    if (phase === 'lingering' && phaseMs >= LINGER_MS) return 'lingering';
    if (phase === 'headers' && phaseMs >= clientHeaderTimeoutMs) return 'headers';
    if (phase === 'idle' && phaseMs >= clientIdleTimeoutMs) return 'idle';
    return null;
  }

  /** Why a body is rejected after a chunk, if it is; `maxBytes` is the limit of the request. */
  bodyRejection(receivedBytes: number, chunks: number, maxBytes: number): BodyRejection | null {
    if (receivedBytes > Math.min(maxBytes, this.settings.clientMaxBodyBytes)) return 'body_too_large';
    return chunks > this.settings.clientMaxBodyChunks ? 'body_chunks' : null;
  }

  /** Whether a body comes in so many small chunks that reading it takes most of the processor time. */
  isSmallChunked(receivedBytes: number, chunks: number): boolean {
    return chunks >= this.settings.clientTurnChunks && receivedBytes < chunks * SMALL_CHUNK_BYTES;
  }

  /** Whether one more body in small chunks may be received, so that several do not take all processor time. */
  mayReceiveSmallChunks(smallChunkedBodies: number): boolean {
    return smallChunkedBodies < this.settings.clientMaxSmallChunkBodies;
  }

  /** Why a body has taken too long, if it has. */
  bodyTimeout(body: BodyView, nowMs: number): BodyRejection | null {
    if (nowMs - body.startedAtMs >= this.settings.clientBodyTimeoutMs) return 'body_timeout';
    return nowMs - body.progressAtMs >= this.settings.clientBodyStallMs ? 'body_stalled' : null;
  }

  /** Which limit all bodies together exceed, if any. */
  totalsRejection(totals: BodyTotals, budgetBytes: number): BodyRejection | null {
    if (totals.bytes > budgetBytes) return 'body_memory';
    return totals.chunks > this.settings.clientMaxBodyChunks ? 'body_chunks' : null;
  }

  /**
   * Bytes that all bodies may take, given the resident memory and the part of it that bodies
   * hold. Under memory pressure it is what the rest of the process leaves.
   */
  bodyBudgetBytes(residentBytes: number, heldBytes: number): number {
    const leftBytes = this.softMemoryBytes - (residentBytes - heldBytes);
    return Math.max(MIN_BODY_BUDGET_BYTES, Math.min(this.usualBodyBudgetBytes, leftBytes));
  }

  isMemoryShort(residentBytes: number): boolean {
    return residentBytes > this.softMemoryBytes;
  }

  /**
   * The body to drop first: of those that received nothing since the last sweep, else of all,
   * the one that holds most, or has most chunks for the bytes that it brought.
   */
  bodyToDrop<Body extends BodyView>(
    bodies: Iterable<Body>,
    nowMs: number,
    exceeded: BodyRejection,
  ): Body | null {
    let chosen: Body | null = null;
    let chosenWeight = -1;
    for (const body of bodies) {
      const size = exceeded === 'body_chunks' ? body.chunks : body.heldBytes;
      const weight = size + (body.progressAtMs < nowMs ? Number.MAX_SAFE_INTEGER / 2 : 0);
      if (size > 0 && weight > chosenWeight) {
        chosen = body;
        chosenWeight = weight;
      }
    }
    return chosen;
  }
}
