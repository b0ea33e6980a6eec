/** A client leaves a frozen front machine, and cancels its job at another one. */
import { connect, type Socket } from 'node:net';
import { encodeCallerHeaders, encodeJobBody } from '../../platform/standins/deployment_encoding';
import { CaseError, HAS_TROUBLE, RECORD_FILE, runCase } from '../lib-2/case_main';
import { HOST, KEY, SmallDeployment } from '../lib-2/small_deployment';

/** Length of the freeze, the longest that the pages name. */
const FREEZE_MS = 4_000;

/** After which the client leaves: half of the shortest objective. */
const PATIENCE_MS = 300;

/** `cancel_ms` of the pages. */
const CANCEL_MS = 3_000;

const TASK_MS = 5_000;
const JOB_ID = '5c0e7a21d94b36f8';
const JOB_PATH = `/jobs/${JOB_ID}`;
const TASK = `${JOB_ID}.0.0.0`;

/** Sends a POST on a connection of its own. */
function send(port: number, body: string): Socket {
  const headers = {
    ...encodeCallerHeaders(HOST, KEY, 3_000),
    'content-length': String(Buffer.byteLength(body)),
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(`POST ${JOB_PATH} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
  return socket;
}

async function play(deployment: SmallDeployment): Promise<void> {
  const { fronts, record } = deployment;
  await deployment.startFronts(fronts);
  await deployment.delay(3_000);
  const followers = fronts.filter(({ name }) => name !== deployment.leaderName());
  const [frozen, other] = followers;
  if (frozen === undefined || other === undefined || followers.length === fronts.length)
    throw new CaseError('No front machine leads.');
  if (HAS_TROUBLE) {
    record.write(`${frozen.name} freezes; ${deployment.leaderName()} leads`);
    frozen.process.signal('SIGSTOP');
  }
  const frozenAtMs = record.nowMs();
  await deployment.delay(50);
  const socket = send(frozen.callerPort, encodeJobBody('a quote', 1, 1));
  record.write(`POST ${JOB_PATH} sent to ${frozen.name}`);
  socket.on('data', (data: Buffer) => {
    record.write(`answer of ${frozen.name}: ${data.toString('utf8').split('\r\n')[0] ?? ''}`);
  });
  await deployment.delay(PATIENCE_MS);
  socket.destroy();
  record.write('the client leaves');
  const [status] = await deployment.call(other, 'DELETE', JOB_PATH);
  if (status !== 200 && status !== 410) throw new CaseError('The cancelling was not acknowledged.');
  const cancelledAtMs = record.nowMs();
  await deployment.delay(frozenAtMs + FREEZE_MS - record.nowMs());
  if (HAS_TROUBLE) {
    record.write(`${frozen.name} wakes`);
    frozen.process.signal('SIGCONT');
  }
  const untilMs = record.nowMs() + 10_000;
  while (record.nowMs() < untilMs) {
    const isRunning = (deployment.running.get(TASK) ?? []).length > 0;
    if (isRunning && record.nowMs() - cancelledAtMs > CANCEL_MS) {
      deployment.report(
        `UNASKED: ${TASK} runs ${record.nowMs() - cancelledAtMs} ms after the cancelling of its job was acknowledged`,
      );
      break;
    }
    await deployment.delay(10);
  }
  await deployment.delay(8_000);
  await deployment.call(other, 'GET', JOB_PATH);
}

void runCase(
  new SmallDeployment({
    recordFile: RECORD_FILE,
    fronts: 3,
    workers: 4,
    maxLeaseMs: 10_000,
    runTimeMs: () => TASK_MS,
  }),
  play,
);
