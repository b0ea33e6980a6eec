/** A front machine and a worker are cut off from all others together, while the worker runs a task. */
import { encodeJobBody } from '../../platform/standins/deployment_encoding';
import { CaseError, HAS_TROUBLE, RECORD_FILE, runCase } from '../lib-2/case_main';
import { SmallDeployment } from '../lib-2/small_deployment';

/** `hold-max-ms` of the deployment in the pages with the shortest leases. */
const MAX_LEASE_MS = 6_000;

/** Length of one cut, as the pages have it, and the number of cuts, one right after the other. */
const CUT_MS = 5_000;
const CUTS = 2;

const TASK_MS = 30_000;
const JOB_ID = '5c0e7a21d94b36f8';
const JOB_PATH = `/jobs/${JOB_ID}`;
const TASK = `${JOB_ID}.0.0.0`;

async function play(deployment: SmallDeployment): Promise<void> {
  const { fronts, record, running } = deployment;
  await deployment.startFronts(fronts);
  await deployment.delay(3_000);
  const leader = fronts.find(({ name }) => name === deployment.leaderName());
  const other = fronts.find((front) => front !== leader);
  if (leader === undefined || other === undefined) throw new CaseError('No front machine leads.');
  const [status] = await deployment.call(other, 'POST', JOB_PATH, encodeJobBody('long', 1, 1));
  if (status !== 200) throw new CaseError('The job was not accepted.');
  await deployment.delay(1_500);
  const [run] = running.get(TASK) ?? [];
  if (run === undefined) throw new CaseError('The task has not started.');
  record.write(`${leader.name} leads; ${run.workerId} runs the task`);
  if (HAS_TROUBLE) {
    record.write(`cut off together from all others: ${leader.name} and ${run.workerId}`);
    deployment.setRegistration(run.workerId, true);
    deployment.setLinks(
      leader,
      true,
      [...leader.links.keys()].filter((name) => name !== run.workerId),
    );
    for (const front of fronts)
      if (front !== leader)
        for (const name of [leader.name, run.workerId]) front.links.get(name)?.setMode('silent');
  }
  for (let cut = 1; cut <= CUTS; cut += 1) {
    if (HAS_TROUBLE) record.write(`cut ${cut} of ${CUTS} begins`);
    await deployment.delay(CUT_MS);
  }
  if (HAS_TROUBLE) {
    record.write('the cuts have ended');
    deployment.setRegistration(run.workerId, false);
    deployment.setLinks(leader, false, leader.links.keys());
    for (const front of fronts) for (const link of front.links.values()) link.setMode('passing');
  }
  await deployment.delay(TASK_MS);
  await deployment.call(other, 'GET', JOB_PATH);
  for (const { name, process } of fronts)
    if (!process.isRunning()) throw new CaseError(`${name} has ended by itself.`);
}

void runCase(
  new SmallDeployment({
    recordFile: RECORD_FILE,
    fronts: 4,
    workers: 5,
    maxLeaseMs: MAX_LEASE_MS,
    runTimeMs: () => TASK_MS,
  }),
  play,
);
