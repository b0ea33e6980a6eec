/** Demonstration of a maintenance wave: one instance is drained and rebooted under load. */
import { DEMO_KEY } from './demo_ticket';
import { OPERATOR_TOKEN, sendJson, type Deployment, type JsonResponse } from './deployment';

const CONCURRENT_CALLERS = 6;
const MAX_RETRIES = 5;
const POLL_INTERVAL_MS = 250;
const WAVE_TIMEOUT_MS = 60_000;

/** The responses that callers received while the wave ran. */
export interface WaveDemoResult {
  /** Whether the wave finished within {@link WAVE_TIMEOUT_MS}. */
  readonly finished: boolean;
  readonly durationMs: number;
  /** Number of final responses by HTTP status; statuses other than 200 include the result code. */
  readonly responses: ReadonlyMap<string, number>;
  /** Number of retries by result code; callers retry requests that were rejected without being run. */
  readonly retries: ReadonlyMap<string, number>;
}

/** Runs a wave of one instance under load, for at most {@link WAVE_TIMEOUT_MS}. */
export async function runWaveDemo(deployment: Deployment, ticketNumber: number): Promise<WaveDemoResult> {
  const startedAtMs = performance.now();
  const responses = new Map<string, number>();
  let isRunning = true;
  const retries = new Map<string, number>();
  const callers = Array.from({ length: CONCURRENT_CALLERS }, async (_, index) => {
    while (isRunning) {
      const { status, body } = await sendWithRetries(deployment, index, retries);
      count(responses, status === 200 ? '200' : `${status} (${String(body.code)})`);
    }
  });
  await deployment.applyTicket({
    number: ticketNumber,
    set: { waves: [{ waveId: 'demo-wave', poolId: 'quotes', instanceIds: ['worker-1'] }] },
  });
  let finished = false;
  while (!finished && performance.now() - startedAtMs < WAVE_TIMEOUT_MS) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    finished = await isWaveFinished(deployment);
  }
  isRunning = false;
  await Promise.all(callers);
  return { finished, durationMs: performance.now() - startedAtMs, responses, retries };
}

async function isWaveFinished(deployment: Deployment): Promise<boolean> {
  const { body } = await sendJson(`${deployment.operatorUrl(0)}/v1/waves`, 'GET', OPERATOR_TOKEN);
  const waves = body.waves as readonly { readonly waveId: string; readonly done: readonly string[] }[];
  return waves.some(({ waveId, done }) => waveId === 'demo-wave' && done.includes('worker-1'));
}

/** Sends a request; one that was not run is retried on the next entry instance, as real callers do. */
async function sendWithRetries(
  deployment: Deployment,
  firstEntry: number,
  retries: Map<string, number>,
): Promise<JsonResponse> {
  for (let attempt = 0; ; attempt += 1) {
    const url = `${deployment.callerUrl((firstEntry + attempt) % 3)}/v1/queues/quote/price/wave`;
    const response = await sendJson(url, 'GET', DEMO_KEY);
    if (response.body.outcome !== 'not_run' || attempt === MAX_RETRIES) return response;
    count(retries, String(response.body.code));
  }
}

function count(counts: Map<string, number>, name: string): void {
  counts.set(name, (counts.get(name) ?? 0) + 1);
}
