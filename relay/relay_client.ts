/** Asks other processes to do what this one cannot do without the store. */
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { CallNotSentError, CallOutcomeUnknownError, HttpChannel } from '../net/http_channel';
import { decodeOutcome, type RelayOutcome } from './relay_calls';

/** Processes that are asked one after the other before a call is given up. */
const MAX_PEERS = 3;

/** Connections to one process. */
const CONNECTIONS = 4;

/** Path of the interface between processes. */
export const RELAY_PATH = '/rpc';

/** The call may have been carried out, and no answer came. */
export class RelayOutcomeUnknownError extends Error {
  override readonly name = 'RelayOutcomeUnknownError';
}

/** Names the addresses that may be asked. */
export type PeerAddresses = () => readonly string[];

/**
 * Calls another process, the one that helped last first.
 *
 * @example
 * ```ts
 * const outcome = await client.call(STATE, { jobId }, 1_000);
 * ```
 */
export class RelayClient {
  private readonly channels = new Map<string, HttpChannel>();
  private preferred: string | null = null;
  private requestId = 0;
  private turn = 0;

  constructor(private readonly addresses: PeerAddresses) {}

  /**
   * Resolves with `unavailable` if no process could help. Throws
   * {@link RelayOutcomeUnknownError} if one may have carried the call out.
   */
  async call(method: string, params: object, timeoutMs: number): Promise<RelayOutcome> {
    for (const address of this.candidates()) {
      const outcome = await this.callPeer(address, method, params, timeoutMs);
      if (outcome === null || outcome.kind === 'unavailable') continue;
      this.preferred = address;
      return outcome;
    }
    this.preferred = null;
    return { kind: 'unavailable' };
  }

  /** Asks all others the same question; returns the address of the first that answers `true`. */
  async findAcceptingPeer(method: string, params: object, timeoutMs: number): Promise<string | null> {
    for (const address of this.addresses()) {
      try {
        const outcome = await this.callPeer(address, method, params, timeoutMs);
        if (outcome?.kind === 'done' && outcome.value === true) return address;
      } catch (error) {
        if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      }
    }
    return null;
  }

  /** Calls one process. `null` if the call was surely not sent. Throws {@link RelayOutcomeUnknownError}. */
  async callPeer(
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<RelayOutcome | null> {
    this.requestId += 1;
    try {
      const body = createJSONRPCRequest(this.requestId, method, params);
      const answer = await this.channelOf(address).call({
        method: 'POST',
        path: RELAY_PATH,
        body,
        timeoutMs,
      });
      if (!isJSONRPCResponse(answer.body) || answer.body.error !== undefined) return { kind: 'unavailable' };
      return decodeOutcome(answer.body.result);
    } catch (error) {
      if (error instanceof CallNotSentError) return null;
      if (error instanceof CallOutcomeUnknownError) throw new RelayOutcomeUnknownError(error.message);
      throw error;
    }
  }

  close(): void {
    for (const channel of this.channels.values()) channel.close();
  }

  private candidates(): readonly string[] {
    const others = this.addresses();
    this.turn += 1;
    const rotated = others.map((_, index) => others[(index + this.turn) % others.length] ?? '');
    const first = this.preferred !== null && others.includes(this.preferred) ? [this.preferred] : [];
    return [...first, ...rotated.filter((address) => address !== this.preferred)].slice(0, MAX_PEERS);
  }

  private channelOf(address: string): HttpChannel {
    const known = this.channels.get(address);
    if (known !== undefined) return known;
    const channel = new HttpChannel(address, CONNECTIONS);
    this.channels.set(address, channel);
    return channel;
  }
}
