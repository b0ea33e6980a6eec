/** Runs the table service stand-in as a process, which prints its port as one line of JSON. */
import { parseArgs } from 'node:util';
import { HttpServer } from '../entry/http_server';
import { SystemClock } from '../kernel/system_clock';
import { TableStore } from '../platform/table_store';
import { tableApp } from './table_app';

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' } } });

let server: HttpServer | null = null;
const app = tableApp({
  store: new TableStore(),
  clock: new SystemClock(),
  traffic: () => server?.traffic() ?? { received: 0, sent: 0 },
});

void HttpServer.listen({ app, host: '127.0.0.1', port: Number(values.port) }).then((listening) => {
  server = listening;
  process.stdout.write(`${JSON.stringify({ port: listening.port })}\n`);
});
