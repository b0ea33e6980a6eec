/** An empty worker is added, and the operator orders the upkeep of its machine right after. */
import { CaseError, HAS_TROUBLE, RECORD_FILE, runCase } from '../lib-2/case_main';
import type { SmallDeployment } from '../lib-2/small_deployment';
import { SmallDeployment as Deployment } from '../lib-2/small_deployment';

const WAVE = 1;
const TERM_S = 26;

async function play(deployment: SmallDeployment): Promise<void> {
  const { fronts, record } = deployment;
  await deployment.startFronts(fronts);
  await deployment.delay(4_000);
  await deployment.addWorker('worker-new');
  record.write('added: worker-new on machine-of-worker-new');
  if (!HAS_TROUBLE) await deployment.delay(10_000);
  deployment.orderWave(WAVE, ['machine-of-worker-new'], TERM_S, 1);
  let status = '';
  for (let waitedMs = 0; waitedMs < TERM_S * 1_000; waitedMs += 100) {
    await deployment.delay(100);
    const latest = deployment.waveStatus(WAVE);
    if (latest !== status) record.write(`status of the wave: ${latest}`);
    status = latest;
    if (status.includes('completed')) break;
  }
  if (status === '') throw new CaseError('Nothing is said of the wave.');
  if (status.includes('completed') && !deployment.begunUpkeep.has('machine-of-worker-new'))
    deployment.report('MIXED: the wave is said to be completed, and its machine has not begun its upkeep');
  await deployment.delay(15_000);
  record.write(`machines whose upkeep has begun: ${[...deployment.begunUpkeep].join(', ') || 'none'}`);
}

void runCase(
  new Deployment({
    recordFile: RECORD_FILE,
    fronts: 3,
    workers: 4,
    maxLeaseMs: 10_000,
    runTimeMs: () => 1_000,
  }),
  play,
);
