/** Demonstration of a maintenance wave: one instance is drained and rebooted while requests go on. */
import { DEMO_KEY } from './demo_ticket';
import { OPERATOR_TOKEN, sendJson, type Deployment, type JsonAnswer } from './deployment';

const LOAD_CONNECTIONS = 6;
const RETRIES = 5;
const POLL_MS = 250;
const WAVE_LIMIT_MS = 60_000;

/** What callers saw while the wave ran. */
export interface WaveDemoResult {
  readonly finished: boolean;
  readonly durationMs: number;
  /** Answers by HTTP status, with the result code of those that the system refused. */
  readonly answers: ReadonlyMap<string, number>;
  /** Requests refused as not run, which callers sent again, by result code. */
  readonly retried: ReadonlyMap<string, number>;
}

/** Runs a wave of one instance under load; ends after {@link WAVE_LIMIT_MS} at the latest. */
export async function runWaveDemo(deployment: Deployment, ticketNumber: number): Promise<WaveDemoResult> {
  const startedMs = performance.now();
  const answers = new Map<string, number>();
  let isRunning = true;
  const retried = new Map<string, number>();
  const load = Array.from({ length: LOAD_CONNECTIONS }, async (_, index) => {
    while (isRunning) {
      const { status, body } = await sendUntilRun(deployment, index, retried);
      count(answers, status === 200 ? '200' : `${status} (${String(body.code)})`);
    }
  });
  await deployment.applyTicket({
    number: ticketNumber,
    set: { waves: [{ waveId: 'demo-wave', poolId: 'quotes', instanceIds: ['worker-1'] }] },
  });
  let finished = false;
  while (!finished && performance.now() - startedMs < WAVE_LIMIT_MS) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    finished = await isFinished(deployment);
  }
  isRunning = false;
  await Promise.all(load);
  return { finished, durationMs: performance.now() - startedMs, answers, retried };
}

async function isFinished(deployment: Deployment): Promise<boolean> {
  const { body } = await sendJson(`${deployment.operatorUrl(0)}/v1/waves`, 'GET', OPERATOR_TOKEN);
  const waves = body.waves as readonly { readonly waveId: string; readonly done: readonly string[] }[];
  return waves.some(({ waveId, done }) => waveId === 'demo-wave' && done.includes('worker-1'));
}

/** Sends a request and, as callers do, sends it again to the next entry instance if it was not run. */
async function sendUntilRun(
  deployment: Deployment,
  index: number,
  retried: Map<string, number>,
): Promise<JsonAnswer> {
  for (let attempt = 0; ; attempt += 1) {
    const url = `${deployment.callerUrl((index + attempt) % 3)}/v1/queues/quote/price/wave`;
    const answer = await sendJson(url, 'GET', DEMO_KEY);
    if (answer.body.outcome !== 'not_run' || attempt === RETRIES) return answer;
    count(retried, String(answer.body.code));
  }
}

function count(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
