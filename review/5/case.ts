/** Jobs are cancelled while one of the workers rejects part of its calls. */
import { runCase, type Verdict } from '../lib/case_main';
import { Deployment } from '../lib/deployment';
import { pause } from '../lib/http_service';
import { WIRE } from '../lib/wire_names';

const ROUNDS = 8;
const TASKS = 5;
/** The worker rejects this share of its calls for this time, in milliseconds. */
const GREY_SHARE = 0.4;
const GREY_MS = 5_000;
/** All disruptions are over for `contact-ms` and for `cancel_ms` + `stop-grace-ms`, in milliseconds. */
const CALM_MS = 12_000;

const deployment = new Deployment({
  processes: 3,
  pools: [{ name: 'desk', machines: 7 }],
  runTimeMs: () => null,
});

async function play(isDisturbed: boolean): Promise<Verdict> {
  for (let round = 0; round < ROUNDS; round += 1) {
    const jobId = `d${round}`.padEnd(16, '0');
    const steps = [
      { count: TASKS, cpu: 4_000, [WIRE.memMb]: 1_024, 'long-running': true, 'anti-affinity': 1 },
    ];
    if (!(await deployment.submit(jobId, { spec: 'recon', steps }, round)))
      throw new Error('A job was not accepted.');
    await pause(1_500);
    const run = deployment
      .observedRuns()
      .find(({ task, endedAtMs }) => task.startsWith(jobId) && endedAtMs === null);
    const worker = deployment.workers.find(({ options }) => options.workerId === run?.workerId);
    if (isDisturbed) worker?.setGrey(GREY_SHARE);
    await pause(GREY_MS / 2);
    const { status } = await deployment.call(deployment.fronts[0], 'DELETE', jobId);
    if (status !== 200) throw new Error('A cancellation was not acknowledged.');
    await pause(GREY_MS / 2);
    if (isDisturbed) worker?.setGrey(0);
  }
  await pause(CALM_MS);
  return deployment
    .observedRuns()
    .filter(({ endedAtMs }) => endedAtMs === null)
    .map(
      ({ task, run, workerId }) =>
        `UNASKED: ${task} run ${run} on ${workerId} still runs; its job is cancelled`,
    );
}

void runCase({ deployment, play });
