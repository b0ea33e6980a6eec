/** Runs the platform stand-in as a process, which prints its port as one line of JSON. */
import { parseArgs } from 'node:util';
import { HttpServer } from '../entry/http_server';
import { SystemClock } from '../kernel/system_clock';
import { SimulatedPlatform } from '../platform/simulated_platform';
import { platformApp } from './platform_app';

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    'lag-ms': { type: 'string', default: '1000' },
    'reboot-ms': { type: 'string', default: '3000' },
  },
});

const clock = new SystemClock();
const platform = new SimulatedPlatform({
  clock,
  lagMs: Number(values['lag-ms']),
  rebootMs: Number(values['reboot-ms']),
});

void HttpServer.listen({
  app: platformApp(platform, clock),
  host: '127.0.0.1',
  port: Number(values.port),
}).then(({ port }) => {
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
