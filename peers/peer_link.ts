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

/** Time limit of one call to a peer, in milliseconds; below the freshness period, so a hung peer is noticed in time. */
export const CALL_TIMEOUT_MS = 1_000;

const HELLO = 'peer.hello';
const EXCHANGE = 'peer.exchange';

/** Serves a method that peers call. */
export type PeerMethod = (peer: PeerIdentity, params: unknown) => Promise<unknown>;

export interface PeerLinkOptions {
  readonly channel: PeerChannel;
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly self: PeerIdentity;
  readonly sections: readonly ExchangeSection[];
  readonly methods: ReadonlyMap<string, PeerMethod>;
  /** Member that was dialled, `null` on an accepted connection. */
  readonly expectedMemberId: string | null;
  /** Called when the peer has said who it is. */
  readonly onIdentified: (link: PeerLink) => void;
  /** Called for every exchange message of the peer. */
  readonly onHeard: (link: PeerLink) => void;
  readonly onClosed: (link: PeerLink, reason: string) => void;
}

/** A connection to one peer; closes itself when the peer breaks the protocol or does not answer an exchange. */
export class PeerLink {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly state: ExchangeState;
  private identity: PeerIdentity | null = null;
  private helloTimer: Timer | null = null;
  private closed = false;
  private exchanging = false;
  private exchangeAgain = false;

  constructor(private readonly options: PeerLinkOptions) {
    this.state = new ExchangeState(options.clock);
    const send = (payload: unknown): void => {
      const line = JSON.stringify(payload);
      options.counters.increment('peers.sent_bytes', '', Buffer.byteLength(line) + 1);
      options.channel.send(line);
    };
    const quiet = { errorListener: () => undefined };
    this.rpc = new JSONRPCServerAndClient(new JSONRPCServer(quiet), new JSONRPCClient(send), quiet);
    this.addMethods();
    if (options.expectedMemberId === null) this.expectHello();
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

  /** The peer, `null` until it has said who it is. */
  peer(): PeerIdentity | null {
    return this.identity;
  }

  /** Says who is calling and learns who answers; for the side that dialled. */
  async greet(): Promise<void> {
    const { self, expectedMemberId } = this.options;
    try {
      const hello = parseMessage(helloSchema, await this.request(HELLO, { v: PROTOCOL_VERSION, ...self }));
      if (hello.memberId !== expectedMemberId) throw new ProtocolError('wrong_member');
      this.identify(hello);
    } catch (error) {
      this.close(error instanceof ProtocolError ? error.reason : 'no_hello');
    }
  }

  /** Sends the sections and takes in the peer's. Requests made meanwhile lead to one more exchange. */
  exchange(): void {
    if (this.exchanging) this.exchangeAgain = true;
    else void this.exchangeOnce();
  }

  /** Calls a method of the peer. Rejects on an error answer, after the time limit, or when the connection closes. */
  request(method: string, params: unknown): Promise<unknown> {
    if (this.closed) return Promise.reject(new Error('The connection to the peer is closed.'));
    return new Promise((resolve, reject) => {
      const timer = this.options.clock.schedule(CALL_TIMEOUT_MS, () => {
        this.options.counters.increment('peers.call_failed', 'timeout');
        reject(new Error(`The peer did not answer ${method} within ${CALL_TIMEOUT_MS} ms.`));
      });
      this.rpc.request(method, params as object, undefined).then(
        (answer: unknown) => {
          timer.cancel();
          resolve(answer);
        },
        (error: unknown) => {
          timer.cancel();
          this.options.counters.increment('peers.call_failed', this.closed ? 'closed' : 'error');
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    });
  }

  /** Closes the connection and counts the reason. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.helloTimer?.cancel();
    this.options.channel.close();
    this.options.counters.increment('peers.closed', reason);
    this.rpc.rejectAllPendingRequests('The connection to the peer was closed.');
    this.options.onClosed(this, reason);
  }

  /** A connection on which nobody says who is calling would stay open for ever. */
  private expectHello(): void {
    this.helloTimer = this.options.clock.schedule(CALL_TIMEOUT_MS, () => {
      this.close('no_hello');
    });
  }

  private async exchangeOnce(): Promise<void> {
    const { identity } = this;
    if (this.closed || identity === null) return;
    this.exchanging = true;
    this.exchangeAgain = false;
    try {
      this.takeIn(await this.request(EXCHANGE, this.compose(identity)));
    } catch (error) {
      this.close(error instanceof ProtocolError ? error.reason : 'exchange_failed');
    }
    this.exchanging = false;
    if (this.hasExchangeWaiting()) void this.exchangeOnce();
  }

  private hasExchangeWaiting(): boolean {
    return this.exchangeAgain;
  }

  private receive(line: string): void {
    if (this.closed) return;
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
    this.serve(HELLO, (params) => {
      this.identify(parseMessage(helloSchema, params));
      return { v: PROTOCOL_VERSION, ...self };
    });
    this.serve(EXCHANGE, (params) => {
      const peer = this.identified();
      this.takeIn(params);
      return this.compose(peer);
    });
    for (const [name, method] of methods) {
      this.serve(name, (params) => method(this.identified(), params));
    }
  }

  private identified(): PeerIdentity {
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
    // An answer that was on its way when the connection closed must not bring it back into use.
    if (this.closed) return;
    this.helloTimer?.cancel();
    this.identity = { memberId: hello.memberId, incarnation: hello.incarnation };
    this.options.onIdentified(this);
  }

  private compose(peer: PeerIdentity): unknown {
    const entries = this.options.sections.map((section) => [section.name, section.compose(peer)] as const);
    return this.state.compose(Object.fromEntries(entries.filter(([, payload]) => payload !== undefined)));
  }

  private takeIn(params: unknown): void {
    const { identity } = this;
    const message = parseMessage(exchangeSchema, params);
    const sentMs = this.state.accept(message);
    // Answers that arrive after the connection was given up must not revive the peer.
    if (sentMs === null || identity === null || this.closed) return;
    this.options.onHeard(this);
    for (const section of this.options.sections) {
      const payload = message.s[section.name];
      if (payload !== undefined) section.receive(identity, payload, sentMs);
    }
  }
}
