/** Demonstration: a whole deployment serves requests and jobs, reboots one instance by a wave, then stops gracefully. */
import { runJobDemo } from './demo_job';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { runWaveDemo } from './demo_wave';
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
  const jobs = await runJobDemo(deployment);
  const wave = await runWaveDemo(deployment, 2);
  const codes = await deployment.stop();
  process.stdout.write(`requests by status: ${JSON.stringify(Object.fromEntries(statuses))}\n`);
  process.stdout.write(`jobs by final state: ${JSON.stringify(Object.fromEntries(jobs))}\n`);
  process.stdout.write(`exit codes of the entry instances: ${codes.join(', ')}\n`);
  process.stdout.write(
    `wave of one instance: ${wave.finished ? 'finished' : 'not finished'} after ${Math.round(wave.durationMs)} ms, ` +
      `requests by status meanwhile: ${JSON.stringify(Object.fromEntries(wave.answers))}, ` +
      `sent again after a refusal by code: ${JSON.stringify(Object.fromEntries(wave.retried))}\n`,
  );
  const isWaveGood = wave.finished && [...wave.answers.keys()].every((answer) => answer === '200');
  const isServed = statuses.get(200) === REQUESTS && codes.every((code) => code === 0);
  const areJobsDone = [...jobs.keys()].every((state) => state === 'done');
  process.exitCode = isServed && isWaveGood && areJobsDone ? 0 : 1;
}

void main();
