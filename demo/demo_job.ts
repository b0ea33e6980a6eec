/** Demonstration of jobs: some are submitted and followed to their end. */
import { DEMO_KEY } from './demo_ticket';
import { sendJson, type Deployment } from './deployment';

const JOBS = 4;
const RUN_TIME_MS = 500;
const POLL_MS = 100;
const JOBS_LIMIT_MS = 30_000;
const ENDED: ReadonlySet<string> = new Set(['done', 'failed', 'cancelled', 'cannot_run']);

/** Submits jobs through all entry instances; resolves with the number of jobs by final state. */
export async function runJobDemo(deployment: Deployment): Promise<ReadonlyMap<string, number>> {
  const states = await Promise.all(Array.from({ length: JOBS }, (_, index) => runJob(deployment, index)));
  const counts = new Map<string, number>();
  for (const state of states) counts.set(state, (counts.get(state) ?? 0) + 1);
  return counts;
}

async function runJob(deployment: Deployment, index: number): Promise<string> {
  const url = `${deployment.callerUrl(index % deployment.entries.length)}/v1/jobs`;
  const job = {
    queueId: 'quote',
    processors: 2,
    memoryBytes: 2 ** 30,
    accelerators: 0,
    runTimeMs: RUN_TIME_MS,
  };
  const headers = { 'idempotency-key': `demo-job-${index}` };
  const { body } = await sendJson(url, 'POST', DEMO_KEY, job, headers);
  const endMs = performance.now() + JOBS_LIMIT_MS;
  let state = String(body.state);
  while (!ENDED.has(state) && performance.now() < endMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    const current = await sendJson(`${url}/${String(body.jobId)}`, 'GET', DEMO_KEY);
    state = String(current.body.state);
  }
  return state;
}
