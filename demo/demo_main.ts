/** Demonstration: a whole deployment serves requests and applies a ticket, then stops gracefully. */
import { hashKey } from '../admission/key_index';
import { Deployment, sendJson } from './deployment';

const TEAM_KEY = 'demo-key-of-desk-one';
const REQUESTS = 50;

async function main(): Promise<void> {
  const deployment = await Deployment.start({ entryInstances: 3, workers: 4, serviceMs: 5 });
  const ticket = await deployment.applyTicket({
    number: 1,
    set: {
      teams: [{ teamId: 'desk-one', shareWeight: 1, upperLimit: 16 }],
      keys: [{ keyId: 'desk-one-1', teamId: 'desk-one', keyHashHex: hashKey(TEAM_KEY) }],
      pools: [{ poolId: 'quotes', maxUnavailable: 1 }],
      queues: [{ queueId: 'quote', poolId: 'quotes', priority: 'urgent' }],
      instances: deployment.workers.map((worker, index) => ({
        instanceId: `worker-${index + 1}`,
        poolId: 'quotes',
        host: '127.0.0.1',
        port: worker.port('port'),
        availabilityZone: `zone-${(index % 3) + 1}`,
        rack: `rack-${(index % 3) + 1}`,
      })),
    },
  });
  process.stdout.write(`ticket 1: ${JSON.stringify(ticket.body)}\n`);
  const statuses = new Map<number, number>();
  for (let index = 0; index < REQUESTS; index += 1) {
    const url = `${deployment.callerUrl(index % 3)}/v1/queues/quote/price/${index}`;
    const { status } = await sendJson(url, 'GET', TEAM_KEY);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  const codes = await deployment.stop();
  process.stdout.write(`requests by status: ${JSON.stringify(Object.fromEntries(statuses))}\n`);
  process.stdout.write(`exit codes of the entry instances: ${codes.join(', ')}\n`);
  process.exitCode = statuses.get(200) === REQUESTS && codes.every((code) => code === 0) ? 0 : 1;
}

void main();
