/** A scheduled job with many occurrences, beside ordinary jobs. */
import { runCase, type Verdict } from '../lib/case_main';
import { Deployment } from '../lib/deployment';
import { pause } from '../lib/http_service';
import { WIRE } from '../lib/wire_names';

const SCHEDULED_JOB = 'f'.repeat(16);
const TASKS_PER_OCCURRENCE = 8;
const INTERVAL_MS = 150;
/** With the disruption, and without it. */
const OCCURRENCES = { disturbed: 400, calm: 40 };
const SCHEDULED_RUN_TIME_MS = 100;
const ORDINARY_RUN_TIME_MS = 400;
/** Time for which an ordinary job is handed in each second, in milliseconds. */
const TRAFFIC_MS = 75_000;
/** `finish_s` and the time for which nothing of a job may run, in milliseconds. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const POLL_MS = 100;

const deployment = new Deployment({
  processes: 3,
  pools: [{ name: 'desk', machines: 7 }],
  runTimeMs: (_, spec) => (spec === 'ledger' ? SCHEDULED_RUN_TIME_MS : ORDINARY_RUN_TIME_MS),
});

async function play(isDisturbed: boolean): Promise<Verdict> {
  const accepted: string[] = [];
  const scheduled = {
    spec: 'ledger',
    steps: [
      { count: TASKS_PER_OCCURRENCE, cpu: 500, [WIRE.memMb]: 256, 'estimate-ms': SCHEDULED_RUN_TIME_MS },
    ],
    'repeat-count': isDisturbed ? OCCURRENCES.disturbed : OCCURRENCES.calm,
    'first-run-ms': Date.now() + 1_000,
    'interval-ms': INTERVAL_MS,
  };
  if (await deployment.submit(SCHEDULED_JOB, scheduled)) accepted.push(SCHEDULED_JOB);
  const untilMs = performance.now() + TRAFFIC_MS;
  for (let number = 1; performance.now() < untilMs; number += 1) {
    const jobId = number.toString(16).padStart(16, '0');
    const steps = [{ count: 2, cpu: 1_000, [WIRE.memMb]: 256, 'estimate-ms': ORDINARY_RUN_TIME_MS }];
    void deployment.submit(jobId, { spec: 'quote', steps }, number).then((isAccepted) => {
      if (isAccepted) accepted.push(jobId);
    });
    await pause(1_000);
  }
  deployment.record('the traffic has ended');
  await pause(FINISH_MS);
  return findLost(accepted);
}

/** LOST: an accepted job isn't completed, and for 3 s nothing of it runs though most capacity is free. */
async function findLost(jobIds: readonly string[]): Promise<Verdict> {
  const open: (readonly [string, string])[] = [];
  for (const jobId of jobIds) {
    const state = await deployment.stateOf(jobId);
    if (state !== 'completed') open.push([jobId, state]);
  }
  deployment.record(`${jobIds.length} jobs were accepted, ${open.length} of them are not completed`);
  const begun = deployment.observedRuns().length;
  const untilMs = performance.now() + IDLE_MS;
  while (performance.now() < untilMs) {
    if (deployment.workers.some(({ activeCount }) => activeCount > 0)) return [];
    await pause(POLL_MS);
  }
  if (deployment.observedRuns().length > begun) return [];
  return open.map(([jobId, state]) => `LOST: accepted job ${jobId} is ${state}, and nothing ran for 3 s`);
}

void runCase({ deployment, play });
