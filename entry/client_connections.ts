/** The connections of one server, and which of them makes way when there are too many. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ClientConnection, type RequestListener } from './client_connection';
import type { ClientGuard } from './client_guard';
import type { ServerKind } from './client_limits';

export interface ClientConnectionsOptions {
  readonly guard: ClientGuard;
  readonly kind: ServerKind;
  readonly listener: RequestListener;
}

export class ClientConnections {
  private readonly bySocket = new Map<Socket, ClientConnection>();
  private readonly countByAddress = new Map<string, number>();

  constructor(private readonly options: ClientConnectionsOptions) {}

  /** Closes the new connection, or one that makes way for it, if there are too many. */
  accept(socket: Socket): void {
    const { guard, kind, listener } = this.options;
    const address = socket.remoteAddress ?? '';
    const fromAddress = this.countByAddress.get(address) ?? 0;
    const refusal = guard.limits.connectionRefusal(kind, this.bySocket.size, fromAddress);
    if (refusal !== null && (refusal === 'address' || !this.evict())) {
      guard.countRefused(refusal, address);
      socket.destroy();
      return;
    }
    this.bySocket.set(socket, new ClientConnection(socket, guard, listener));
    this.countByAddress.set(address, fromAddress + 1);
    socket.once('close', () => {
      this.remove(socket, address);
    });
  }

  handle(incoming: IncomingMessage, response: ServerResponse): void {
    this.bySocket.get(incoming.socket)?.handle(incoming, response);
  }

  /** Responses that have not ended. */
  openResponses(): readonly ServerResponse[] {
    return [...this.bySocket.values()].flatMap(({ responses }) => [...responses]);
  }

  /** Closes a connection to make room for another. Returns whether there was one to close. */
  private evict(): boolean {
    const connection = this.options.guard.limits.connectionToEvict(this.bySocket.values());
    if (connection === null) return false;
    connection.close('evicted');
    this.remove(connection.socket, connection.remoteAddress);
    return true;
  }

  private remove(socket: Socket, address: string): void {
    if (!this.bySocket.delete(socket)) return;
    const count = this.countByAddress.get(address) ?? 0;
    if (count > 1) this.countByAddress.set(address, count - 1);
    else this.countByAddress.delete(address);
  }
}
