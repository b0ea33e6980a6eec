/**
 * Demonstration: a whole deployment serves requests and jobs, reboots one
 * instance in a maintenance wave under load, then stops gracefully. Exits with 1
 * if any of these did not succeed.
 */
import { runJobDemo } from './demo_job';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { runWaveDemo } from './demo_wave';
import { Deployment, sendJson } from './deployment';

const REQUEST_COUNT = 50;

async function main(): Promise<void> {
  const deployment = await Deployment.start({ entryInstanceCount: 3, workerCount: 4, serviceMs: 5 });
  const ticket = await deployment.applyTicket(demoTicket(deployment, { upperLimit: 16, slots: 8 }));
  process.stdout.write(`ticket 1: ${JSON.stringify(ticket.body)}\n`);
  const statuses = new Map<number, number>();
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    const url = `${deployment.callerUrl(index % 3)}/v1/queues/quote/price/${index}`;
    const { status } = await sendJson(url, 'GET', DEMO_KEY);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  const jobs = await runJobDemo(deployment);
  const wave = await runWaveDemo(deployment, 2);
  const exitCodes = await deployment.stop();
  process.stdout.write(`requests by status: ${JSON.stringify(Object.fromEntries(statuses))}\n`);
  process.stdout.write(`jobs by final state: ${JSON.stringify(Object.fromEntries(jobs))}\n`);
  process.stdout.write(`exit codes of the entry instances: ${exitCodes.join(', ')}\n`);
  process.stdout.write(
    `maintenance wave of one instance: ${wave.finished ? 'finished' : 'timed out'} after ${Math.round(wave.durationMs)} ms, ` +
      `requests by status during the wave: ${JSON.stringify(Object.fromEntries(wave.responses))}, ` +
      `retries of requests that were not run, by result code: ${JSON.stringify(Object.fromEntries(wave.retries))}\n`,
  );
  const hasWaveSucceeded = wave.finished && [...wave.responses.keys()].every((result) => result === '200');
  const areRequestsServed = statuses.get(200) === REQUEST_COUNT && exitCodes.every((code) => code === 0);
  const areJobsDone = [...jobs.keys()].every((state) => state === 'done');
  process.exitCode = areRequestsServed && hasWaveSucceeded && areJobsDone ? 0 : 1;
}

void main();
