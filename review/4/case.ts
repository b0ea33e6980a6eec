/** A job is cancelled while the entry of one of its workers is missing and another process has begun to lead. */
import { runCase, type Verdict } from '../lib/case_main';
import { Deployment, type Front } from '../lib/deployment';
import { pause } from '../lib/http_service';
import { WIRE } from '../lib/wire_names';

const JOB = 'c'.repeat(16);
const TASKS = 5;
/** How long the worker is cut off from the store, in milliseconds. */
const CUT_MS = 5_000;
/** Times from the beginning of the cut to SIGTERM, and to the cancellation, in milliseconds. */
const TERM_AT_MS = 4_000;
const CANCEL_AT_MS = 4_800;
/** All disruptions are over for `contact-ms`, and then for `cancel_ms` + `stop-grace-ms` as well, in milliseconds. */
const CALM_MS = 15_000;
const CANCEL_MS = 3_000;
const STOP_GRACE_MS = 200;

const deployment = new Deployment({
  processes: 3,
  pools: [{ name: 'desk', machines: 7 }],
  runTimeMs: () => null,
});

/** The process that leads, by its log. */
function leader(): Front {
  const acquired = deployment.fronts.map((front) => ({
    front,
    count: deployment.logLinesOf(front, 'placement lease acquired').length,
  }));
  const found = acquired.find(({ count }) => count > 0);
  if (found === undefined) throw new Error('No process leads.');
  return found.front;
}

async function play(isDisturbed: boolean): Promise<Verdict> {
  const steps = [{ count: TASKS, cpu: 4_000, [WIRE.memMb]: 1_024, 'long-running': true, 'anti-affinity': 1 }];
  if (!(await deployment.submit(JOB, { spec: 'recon', steps }))) throw new Error('The job was not accepted.');
  await pause(3_000);
  const worker = deployment.workers.find(({ activeCount }) => activeCount > 0);
  if (worker === undefined) throw new Error('Nothing runs.');
  const terminated = isDisturbed ? leader() : null;
  if (isDisturbed) {
    await worker.awaitOldEntry();
    worker.setStoreCut(true);
  }
  const cutAtMs = performance.now();
  await pause(TERM_AT_MS);
  if (terminated !== null) deployment.signal(terminated, 'SIGTERM');
  await pause(CANCEL_AT_MS - TERM_AT_MS);
  const { status } = await deployment.call(
    deployment.fronts.find((front) => front !== terminated),
    'DELETE',
    JOB,
  );
  if (status !== 200) throw new Error('The cancellation was not acknowledged.');
  const cancelledAtMs = performance.now();
  await pause(CUT_MS - (performance.now() - cutAtMs));
  if (isDisturbed) worker.setStoreCut(false);
  if (terminated !== null) {
    await deployment.awaitEnd(terminated);
    deployment.startFront(terminated);
  }
  await pause(CALM_MS);
  return deployment
    .observedRuns()
    .filter(({ endedAtMs }) => (endedAtMs ?? Infinity) > cancelledAtMs + CANCEL_MS + STOP_GRACE_MS)
    .filter(({ endedAtMs }) => endedAtMs === null)
    .map(
      ({ task, run, workerId }) =>
        `UNASKED: ${task} run ${run} on ${workerId} still runs ` +
        `${Math.round(performance.now() - cancelledAtMs)} ms after the job's cancelling was acknowledged`,
    );
}

void runCase({ deployment, play });
