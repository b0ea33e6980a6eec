/** Connections between entry instances, independent of the network protocol. */

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** An established connection that carries lines of text both ways. */
export abstract class PeerChannel {
  /** Sends one line without its newline; does nothing once the channel is closed. */
  abstract send(line: string): void;

  /** Sets the callbacks; `onClose` is called once, with the reason why the channel closed. */
  abstract listen(onLine: (line: string) => void, onClose: (reason: string) => void): void;

  abstract close(): void;
}

/** Opens and accepts connections. */
export abstract class PeerTransport {
  /** Starts to accept connections; resolves to the port in use. */
  abstract listen(address: PeerAddress, onChannel: (channel: PeerChannel) => void): Promise<number>;

  /** Rejects if no connection is established within `timeoutMs`. */
  abstract connect(address: PeerAddress, timeoutMs: number): Promise<PeerChannel>;

  /** Stops accepting connections. Open channels are left to their users to close. */
  abstract close(): Promise<void>;
}
