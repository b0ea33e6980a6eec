/** Demonstration of jobs: submits a few and polls them until they reach a final state. */
import { DEMO_KEY } from './demo_ticket';
import { sendJson, type Deployment } from './deployment';

const JOB_COUNT = 4;
const RUN_TIME_MS = 500;
const POLL_INTERVAL_MS = 100;
const JOB_TIMEOUT_MS = 30_000;
const FINAL_STATES: ReadonlySet<string> = new Set(['done', 'failed', 'cancelled', 'cannot_run']);

/** Submits jobs to the entry instances in turn; resolves with the number of jobs by last state. */
export async function runJobDemo(deployment: Deployment): Promise<ReadonlyMap<string, number>> {
  const states = await Promise.all(
    Array.from({ length: JOB_COUNT }, (_, index) => submitAndPollJob(deployment, index)),
  );
  const counts = new Map<string, number>();
  for (const state of states) counts.set(state, (counts.get(state) ?? 0) + 1);
  return counts;
}

/** Resolves with the final state of the job, or with its last state after {@link JOB_TIMEOUT_MS}. */
async function submitAndPollJob(deployment: Deployment, index: number): Promise<string> {
  const url = `${deployment.callerUrl(index % deployment.entryInstances.length)}/v1/jobs`;
  const job = {
    queueId: 'quote',
    processors: 2,
    memoryBytes: 2 ** 30,
    accelerators: 0,
    runTimeMs: RUN_TIME_MS,
  };
  const headers = { 'idempotency-key': `demo-job-${index}` };
  const { body } = await sendJson(url, 'POST', DEMO_KEY, job, headers);
  const deadlineMs = performance.now() + JOB_TIMEOUT_MS;
  let state = String(body.state);
  while (!FINAL_STATES.has(state) && performance.now() < deadlineMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    const current = await sendJson(`${url}/${String(body.jobId)}`, 'GET', DEMO_KEY);
    state = String(current.body.state);
  }
  return state;
}
