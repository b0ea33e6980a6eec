/** JSON-RPC 2.0 with one peer over one connection. */
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0';
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { Counters } from '../telemetry/counters';
import type { ExchangeSection, PeerIdentity } from './exchange';
import { ExchangeState } from './exchange_state';
import {
  envelopeSchema,
  exchangeSchema,
  helloSchema,
  parseMessage,
  PROTOCOL_VERSION,
  ProtocolError,
  type Hello,
} from './peer_messages';
import type { PeerChannel } from './peer_transport';

/**
 * Time limit in milliseconds of one call to a peer. It is shorter than the
 * freshness period, so that a peer that does not respond is detected in time.
 */
export const CALL_TIMEOUT_MS = 1_000;

const HELLO_METHOD = 'peer.hello';
const EXCHANGE_METHOD = 'peer.exchange';

/** Handler of a method that peers call. */
export type PeerMethod = (peer: PeerIdentity, params: unknown) => Promise<unknown>;

export interface PeerLinkOptions {
  readonly channel: PeerChannel;
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly self: PeerIdentity;
  readonly sections: readonly ExchangeSection[];
  readonly methods: ReadonlyMap<string, PeerMethod>;
  /** Id of the member that was dialled, `null` for an accepted connection. */
  readonly expectedMemberId: string | null;
  /** Called when the peer has identified itself. */
  readonly onIdentified: (link: PeerLink) => void;
  /** Called for every exchange message of the peer. */
  readonly onExchange: (link: PeerLink) => void;
  readonly onClosed: (link: PeerLink, reason: string) => void;
}

/** A connection to one peer, which is closed when the peer violates the protocol or does not respond to an exchange. */
export class PeerLink {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly exchangeState: ExchangeState;
  private identity: PeerIdentity | null = null;
  private helloTimer: Timer | null = null;
  private isClosed = false;
  private isExchanging = false;
  private isExchangePending = false;

  constructor(private readonly options: PeerLinkOptions) {
    this.exchangeState = new ExchangeState(options.clock);
    const send = (payload: unknown): void => {
      const line = JSON.stringify(payload);
      options.counters.increment('peers.sent_bytes', '', Buffer.byteLength(line) + 1);
      options.channel.send(line);
    };
    const silentOptions = { errorListener: () => undefined };
    this.rpc = new JSONRPCServerAndClient(
      new JSONRPCServer(silentOptions),
      new JSONRPCClient(send),
      silentOptions,
    );
    this.addMethods();
    if (options.expectedMemberId === null) this.startHelloTimer();
    options.channel.listen(
      (line) => {
        options.loop.post(() => {
          this.receive(line);
        });
      },
      (reason) => {
        options.loop.post(() => {
          this.close(reason);
        });
      },
    );
  }

  /** Returns the identity of the peer, `null` until it has identified itself. */
  peer(): PeerIdentity | null {
    return this.identity;
  }

  /** Sends the identity of this instance and checks that of the peer. Called on the side that dialled. */
  async sendHello(): Promise<void> {
    const { self, expectedMemberId } = this.options;
    try {
      const hello = parseMessage(
        helloSchema,
        await this.request(HELLO_METHOD, { v: PROTOCOL_VERSION, ...self }),
      );
      if (hello.memberId !== expectedMemberId) throw new ProtocolError('wrong_member');
      this.identify(hello);
    } catch (error) {
      this.close(error instanceof ProtocolError ? error.reason : 'no_hello');
    }
  }

  /** Exchanges sections with the peer. All calls made during an exchange together lead to one more exchange. */
  exchange(): void {
    if (this.isExchanging) this.isExchangePending = true;
    else void this.exchangeOnce();
  }

  /** Calls a method of the peer. Rejects on an error response, after the time limit, or when the connection closes. */
  request(method: string, params: unknown): Promise<unknown> {
    if (this.isClosed) return Promise.reject(new Error('The connection to the peer is closed.'));
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.schedule(CALL_TIMEOUT_MS, () => {
        this.options.counters.increment('peers.call_failed', 'timeout');
        reject(new Error(`The peer did not respond to ${method} within ${CALL_TIMEOUT_MS} ms.`));
      });
      this.rpc.request(method, params as object, undefined).then(
        (response: unknown) => {
          timer.cancel();
          resolve(response);
        },
        (error: unknown) => {
          timer.cancel();
          this.options.counters.increment('peers.call_failed', this.isClosed ? 'closed' : 'error');
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    });
  }

  /** Closes the connection and counts the reason. */
  close(reason: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.helloTimer?.cancel();
    this.options.channel.close();
    this.options.counters.increment('peers.closed', reason);
    this.rpc.rejectAllPendingRequests('The connection to the peer was closed.');
    this.options.onClosed(this, reason);
  }

  /**
   * Closes the connection if the peer does not identify itself within a time limit,
   * since it would otherwise stay open forever.
   */
  private startHelloTimer(): void {
    this.helloTimer = this.options.clock.schedule(CALL_TIMEOUT_MS, () => {
      this.close('no_hello');
    });
  }

  private async exchangeOnce(): Promise<void> {
    const { identity } = this;
    if (this.isClosed || identity === null) return;
    this.isExchanging = true;
    this.isExchangePending = false;
    try {
      this.handleExchange(await this.request(EXCHANGE_METHOD, this.compose(identity)));
    } catch (error) {
      this.close(error instanceof ProtocolError ? error.reason : 'exchange_failed');
    }
    this.isExchanging = false;
    if (this.mustExchangeAgain()) void this.exchangeOnce();
  }

  /**
   * This is a method, because the compiler assumes in {@link exchangeOnce} that the
   * field is still `false` after an `await`.
   */
  private mustExchangeAgain(): boolean {
    return this.isExchangePending;
  }

  private receive(line: string): void {
    if (this.isClosed) return;
    this.options.counters.increment('peers.received_bytes', '', Buffer.byteLength(line) + 1);
    try {
      const envelope = envelopeSchema.parse(JSON.parse(line));
      this.rpc.receiveAndSend(envelope, undefined, undefined).catch(() => {
        this.close('malformed');
      });
    } catch {
      this.close('malformed');
    }
  }

  private addMethods(): void {
    const { methods, self } = this.options;
    this.serve(HELLO_METHOD, (params) => {
      this.identify(parseMessage(helloSchema, params));
      return { v: PROTOCOL_VERSION, ...self };
    });
    this.serve(EXCHANGE_METHOD, (params) => {
      const peer = this.requireIdentity();
      this.handleExchange(params);
      return this.compose(peer);
    });
    for (const [name, method] of methods) {
      this.serve(name, (params) => method(this.requireIdentity(), params));
    }
  }

  private requireIdentity(): PeerIdentity {
    if (this.identity === null) throw new ProtocolError('no_hello');
    return this.identity;
  }

  private serve(name: string, method: (params: unknown) => unknown): void {
    this.rpc.addMethod(name, (params: unknown) => {
      try {
        return method(params);
      } catch (error) {
        if (error instanceof ProtocolError) this.close(error.reason);
        throw error;
      }
    });
  }

  private identify(hello: Hello): void {
    // A response that was in transit when the connection closed must not bring the connection back into use.
    if (this.isClosed) return;
    this.helloTimer?.cancel();
    this.identity = { memberId: hello.memberId, incarnation: hello.incarnation };
    this.options.onIdentified(this);
  }

  private compose(peer: PeerIdentity): unknown {
    const entries = this.options.sections.map((section) => [section.name, section.compose(peer)] as const);
    return this.exchangeState.compose(
      Object.fromEntries(entries.filter(([, payload]) => payload !== undefined)),
    );
  }

  private handleExchange(params: unknown): void {
    const { identity } = this;
    const message = parseMessage(exchangeSchema, params);
    const composedAfterMs = this.exchangeState.accept(message);
    // A response that arrives after the connection was closed must not make the peer count as reachable.
    if (composedAfterMs === null || identity === null || this.isClosed) return;
    this.options.onExchange(this);
    for (const section of this.options.sections) {
      const payload = message.s[section.name];
      if (payload !== undefined) section.receive(identity, payload, composedAfterMs);
    }
  }
}
