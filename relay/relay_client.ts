/** Client for calls to the other scheduler processes, for example while this one cannot reach the store. */
import { createJSONRPCRequest, isJSONRPCResponse } from 'json-rpc-2.0';
import { CallNotSentError, CallOutcomeUnknownError, HttpChannel } from '../net/http_channel';
import { decodeOutcome, type RelayOutcome } from './relay_calls';

/** Maximum number of processes that are tried in turn before a call fails. */
const MAX_PEERS = 3;

const CONNECTIONS_PER_PEER = 4;

/** Path of the JSON-RPC interface between processes. */
export const RELAY_PATH = '/rpc';

/** No response arrived; the call may have been applied. */
export class RelayOutcomeUnknownError extends Error {
  override readonly name = 'RelayOutcomeUnknownError';
}

/** Returns the addresses of the processes that may be called. */
export type PeerAddresses = () => readonly string[];

/**
 * Calls other processes, first the one that last completed a call.
 *
 * @example
 * ```ts
 * const outcome = await client.call(JOB_STATE_METHOD, { jobId }, 1_000);
 * ```
 */
export class RelayClient {
  private readonly channels = new Map<string, HttpChannel>();
  private preferredAddress: string | null = null;
  private requestId = 0;
  private rotation = 0;

  constructor(private readonly addresses: PeerAddresses) {}

  /**
   * Resolves with `unavailable` if no process could apply the call. Throws
   * {@link RelayOutcomeUnknownError} if one may have applied it.
   */
  async call(method: string, params: object, timeoutMs: number): Promise<RelayOutcome> {
    for (const address of this.candidates()) {
      const outcome = await this.callPeer(address, method, params, timeoutMs);
      if (outcome === null || outcome.kind === 'unavailable') continue;
      this.preferredAddress = address;
      return outcome;
    }
    this.preferredAddress = null;
    return { kind: 'unavailable' };
  }

  /** Calls the given processes one by one; returns the address of the first whose response is `true`. */
  async findAcceptingPeer(
    method: string,
    params: object,
    timeoutMs: number,
    addresses = this.addresses(),
  ): Promise<string | null> {
    for (const address of addresses) {
      try {
        const outcome = await this.callPeer(address, method, params, timeoutMs);
        if (outcome?.kind === 'done' && outcome.value === true) return address;
      } catch (error) {
        if (!(error instanceof RelayOutcomeUnknownError)) throw error;
      }
    }
    return null;
  }

  /** Calls all processes at once; resolves with whether there are any and each one responded with `true`. */
  async isAcceptedByAll(method: string, params: object, timeoutMs: number): Promise<boolean> {
    const addresses = this.addresses();
    const accepting = await Promise.all(
      addresses.map((address) => this.findAcceptingPeer(method, params, timeoutMs, [address])),
    );
    return addresses.length > 0 && accepting.every((address) => address !== null);
  }

  /** Calls one process. Returns `null` if the call was not sent. Throws {@link RelayOutcomeUnknownError}. */
  async callPeer(
    address: string,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<RelayOutcome | null> {
    this.requestId += 1;
    try {
      const body = createJSONRPCRequest(this.requestId, method, params);
      const response = await this.channelOf(address).call({
        method: 'POST',
        path: RELAY_PATH,
        body,
        timeoutMs,
      });
      // The call may have been applied, whatever the peer sends instead of a response.
      if (response.body === null || !isJSONRPCResponse(response.body)) return { kind: 'unknown' };
      if (response.body.error !== undefined) return { kind: 'unavailable' };
      // A process of another version may respond with an outcome that this one does not know.
      return decodeOutcome(response.body.result) ?? { kind: 'unknown' };
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
    const addresses = this.addresses();
    this.rotation += 1;
    const rotated = addresses.map((_, index) => addresses[(index + this.rotation) % addresses.length] ?? '');
    const first =
      this.preferredAddress !== null && addresses.includes(this.preferredAddress)
        ? [this.preferredAddress]
        : [];
    return [...first, ...rotated.filter((address) => address !== this.preferredAddress)].slice(0, MAX_PEERS);
  }

  private channelOf(address: string): HttpChannel {
    const existing = this.channels.get(address);
    if (existing !== undefined) return existing;
    const channel = new HttpChannel(address, CONNECTIONS_PER_PEER);
    this.channels.set(address, channel);
    return channel;
  }
}
