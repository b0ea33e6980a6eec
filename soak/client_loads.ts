/** Loads of clients that keep no limits, against one address of a scheduler process. */
import { connect, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** Maximum time to hand one load to the system; a process that stops reading must not stop the test. */
const SEND_TIMEOUT_MS = 4_000;

/** One client load: opens its connections, sends what it sends, and leaves the connections open. */
export abstract class ClientLoad {
  abstract readonly name: string;
  private readonly sockets: Socket[] = [];

  /** Resolves once everything has been handed to the system, or the process reads no more of it. */
  abstract run(port: number): Promise<void>;

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  protected open(port: number): Socket {
    const socket = connect(port, HOST);
    // The process may close any of these connections.
    socket.on('error', () => undefined);
    this.sockets.push(socket);
    return socket;
  }

  /** Opens `count` connections and sends the same parts on each, with as many bytes in transit as the process takes. */
  protected async sendOnEach(port: number, count: number, parts: readonly Buffer[]): Promise<void> {
    const sockets = Array.from({ length: count }, () => this.open(port));
    await Promise.all(sockets.map((socket) => sendAll(socket, parts)));
  }
}

/** Chunked bodies that stop just short of their end. */
export class OpenBodies extends ClientLoad {
  constructor(
    override readonly name: string,
    private readonly options: {
      readonly head: string;
      readonly connections: number;
      readonly chunkBytes: number;
      readonly chunks: number;
    },
  ) {
    super();
  }

  override run(port: number): Promise<void> {
    const { head, connections, chunkBytes, chunks } = this.options;
    const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
    const chunksPerPart = Math.max(1, Math.floor(65_536 / chunk.length));
    const part = Buffer.from(chunk.repeat(chunksPerPart));
    const parts = Array.from({ length: Math.ceil(chunks / chunksPerPart) }, () => part);
    return this.sendOnEach(port, connections, [Buffer.from(head), ...parts]);
  }
}

/** Pipelined requests whose responses are not read. */
export class UnreadPipelines extends ClientLoad {
  constructor(
    override readonly name: string,
    private readonly options: {
      readonly request: string;
      readonly connections: number;
      readonly requests: number;
    },
  ) {
    super();
  }

  override run(port: number): Promise<void> {
    const { request, connections, requests } = this.options;
    const block = Buffer.from(request.repeat(100));
    return this.sendOnEach(
      port,
      connections,
      Array.from({ length: requests / 100 }, () => block),
    );
  }
}

/** Connections without a request, of which a third are closed early. */
export class ManyConnections extends ClientLoad {
  constructor(
    override readonly name: string,
    private readonly connections: number,
  ) {
    super();
  }

  override async run(port: number): Promise<void> {
    const sockets = Array.from({ length: this.connections }, () => this.open(port));
    await Promise.all(sockets.map((socket) => settled(socket, 'connect')));
    sockets.filter((_, index) => index % 3 === 0).forEach((socket) => socket.destroy());
  }
}

/** Several loads at once. */
export class CombinedLoad extends ClientLoad {
  override readonly name = 'all of them together';

  constructor(private readonly loads: readonly ClientLoad[]) {
    super();
  }

  override async run(port: number): Promise<void> {
    await Promise.all(this.loads.map((load) => load.run(port)));
  }

  override close(): void {
    for (const load of this.loads) load.close();
  }
}

async function sendAll(socket: Socket, parts: readonly Buffer[]): Promise<void> {
  const untilMs = performance.now() + SEND_TIMEOUT_MS;
  for (const part of parts) {
    if (socket.destroyed || performance.now() > untilMs) return;
    if (!socket.write(part)) await settled(socket, 'drain');
  }
}

/** Resolves at the event, when the connection is closed, or after {@link SEND_TIMEOUT_MS}. */
function settled(socket: Socket, event: 'connect' | 'drain'): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      socket.off(event, finish);
      socket.off('close', finish);
      resolve();
    };
    const timer = setTimeout(finish, SEND_TIMEOUT_MS);
    socket.once(event, finish);
    socket.once('close', finish);
  });
}
