/** The path from one front machine to the platform's store; it may be cut, and it translates addresses. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { asArray, asObject, asString, type WireObject } from '../../platform/wire_value';
import type { AddressView } from './address_view';

/** `silent`: calls get no answer and are not carried out. `busy`: they get status 503. */
export type StoreLinkMode = 'passing' | 'silent' | 'busy';

export class StoreLink {
  mode: StoreLinkMode = 'passing';
  private server: Server | null = null;

  constructor(
    private readonly storeAddress: string,
    private readonly view: AddressView,
  ) {}

  async listen(): Promise<string> {
    const server = createServer((incoming, response) => {
      void this.pass(incoming, response);
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private async pass(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of incoming) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    if (this.mode === 'silent') return;
    if (this.mode === 'busy') {
      response.writeHead(503, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    const text = Buffer.concat(chunks).toString('utf8');
    const answer = await request(`http://${this.storeAddress}${incoming.url ?? ''}`, {
      method: incoming.method === 'POST' ? 'POST' : 'GET',
      headers: { 'content-type': 'application/json' },
      ...(text === '' ? {} : { body: translate(text, ['set-keys'], (value) => this.view.fromFront(value)) }),
    });
    const body = translate(await answer.body.text(), ['rows'], (value) => this.view.toFront(value));
    // A cut that has begun meanwhile takes the answer with it.
    if (this.isCut()) return;
    response.writeHead(answer.statusCode, { 'content-type': 'application/json' }).end(body);
  }

  private isCut(): boolean {
    return this.mode === 'silent';
  }
}

/** Changes the values of the rows in the given lists of a message. */
function translate(text: string, lists: readonly string[], change: (value: string) => string): string {
  const message: Record<string, unknown> = { ...asObject(JSON.parse(text), 'A message') };
  for (const name of lists)
    if (message[name] !== undefined)
      message[name] = asArray(message[name], name).map((row) => translateRow(asObject(row, 'A row'), change));
  return JSON.stringify(message);
}

function translateRow(row: WireObject, change: (value: string) => string): WireObject {
  if (row.value === undefined) return row;
  const value = Buffer.from(asString(row.value, 'value'), 'base64').toString('utf8');
  return { ...row, value: Buffer.from(change(value), 'utf8').toString('base64') };
}
