/** Demonstration: a whole deployment serves requests and applies a ticket, then stops gracefully. */
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { Deployment, sendJson } from './deployment';

const REQUESTS = 50;

async function main(): Promise<void> {
  const deployment = await Deployment.start({ entryInstances: 3, workers: 4, serviceMs: 5 });
  const ticket = await deployment.applyTicket(demoTicket(deployment, { upperLimit: 16, slots: 8 }));
  process.stdout.write(`ticket 1: ${JSON.stringify(ticket.body)}\n`);
  const statuses = new Map<number, number>();
  for (let index = 0; index < REQUESTS; index += 1) {
    const url = `${deployment.callerUrl(index % 3)}/v1/queues/quote/price/${index}`;
    const { status } = await sendJson(url, 'GET', DEMO_KEY);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  const codes = await deployment.stop();
  process.stdout.write(`requests by status: ${JSON.stringify(Object.fromEntries(statuses))}\n`);
  process.stdout.write(`exit codes of the entry instances: ${codes.join(', ')}\n`);
  process.exitCode = statuses.get(200) === REQUESTS && codes.every((code) => code === 0) ? 0 : 1;
}

void main();
