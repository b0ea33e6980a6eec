/** Runs a target stand-in as a process, which prints its port as one line of JSON. */
import { parseArgs } from 'node:util';
import { HttpServer } from '../entry/http_server';
import { SystemClock } from '../kernel/system_clock';
import { workerApp } from './worker_app';

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    'instance-id': { type: 'string', default: 'worker-1' },
    'service-ms': { type: 'string', default: '5' },
    slots: { type: 'string', default: '8' },
    connections: { type: 'string', default: '64' },
    'boot-id': { type: 'string' },
  },
});

const app = workerApp({
  clock: new SystemClock(),
  instanceId: values['instance-id'],
  serviceMs: Number(values['service-ms']),
  slots: Number(values.slots),
  ...(values['boot-id'] !== undefined && { bootId: values['boot-id'] }),
});

void HttpServer.listen({
  app,
  host: '127.0.0.1',
  port: Number(values.port),
  maxConnections: Number(values.connections),
}).then(({ port }) => {
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
