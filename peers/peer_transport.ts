/** Connections between entry instances, independent of how bytes travel. */

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** One established connection that carries lines of text both ways. */
export abstract class PeerChannel {
  /** Sends one line without its newline; does nothing once the channel is closed. */
  abstract send(line: string): void;

  /** Sets the receivers; `onClose` is called once, with the reason if the channel itself found one. */
  abstract listen(onLine: (line: string) => void, onClose: (reason: string) => void): void;

  abstract close(): void;
}

/** Opens and accepts connections. */
export abstract class PeerTransport {
  /** Starts to accept; resolves with the port in use. */
  abstract listen(address: PeerAddress, onChannel: (channel: PeerChannel) => void): Promise<number>;

  /** Rejects if no connection is established within `timeoutMs`. */
  abstract connect(address: PeerAddress, timeoutMs: number): Promise<PeerChannel>;

  /** Stops accepting. Channels are closed by their users. */
  abstract close(): Promise<void>;
}
