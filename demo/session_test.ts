/**
 * Guards against unintended changes of the caller and operator interfaces: runs a
 * session and compares the responses with session.golden.json. UPDATE_GOLDEN=1
 * rewrites that file.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { hashKey } from '../admission/key_index';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { Deployment, OPERATOR_TOKEN, sendJson, type JsonResponse } from './deployment';

const GOLDEN_FILE = join(__dirname, 'session.golden.json');
const SECOND_TEAM_KEY = 'key-of-desk-two';
/** Fields whose values differ from run to run; their values are not compared. */
const VOLATILE_FIELDS: ReadonlySet<string> = new Set([
  'jobId',
  'submittedAtMs',
  'port',
  'instanceId',
  'lastAnswerAtMs',
]);
/** Response headers that are compared; the others are ignored. */
const RECORDED_HEADERS = ['retry-after', 'endivestand-replayed'];

/** One request of the session and its response, as stored in the golden file. */
interface RecordedStep {
  readonly name: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: unknown;
}

let deployment: Deployment;

beforeAll(async () => {
  deployment = await Deployment.start({ entryInstanceCount: 2, workerCount: 2, serviceMs: 1 });
});

afterAll(async () => {
  await deployment.stop();
});

function maskVolatileFields(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(maskVolatileFields);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      VOLATILE_FIELDS.has(name) ? '*' : maskVolatileFields(field),
    ]),
  );
}

function recordStep(name: string, response: JsonResponse): RecordedStep {
  const headers = Object.fromEntries(
    RECORDED_HEADERS.flatMap((header) => {
      const value = response.headers[header];
      return value === undefined ? [] : [[header, value]];
    }),
  );
  return { name, status: response.status, headers, body: maskVolatileFields(response.body) };
}

function sendToQueue(
  path: string,
  teamKey: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  return sendJson(`${deployment.callerUrl(0)}${path}`, 'POST', teamKey, { amount: 3 }, headers);
}

function sendAsOperator(path: string, ticket?: unknown): Promise<JsonResponse> {
  const method = ticket === undefined ? 'GET' : 'POST';
  return sendJson(`${deployment.operatorUrl(1)}${path}`, method, OPERATOR_TOKEN, ticket);
}

const SECOND_TICKET = {
  number: 5,
  set: {
    teams: [{ teamId: 'desk-two', shareWeight: 2, upperLimit: 4 }],
    keys: [{ keyId: 'desk-two-1', teamId: 'desk-two', keyHashHex: hashKey(SECOND_TEAM_KEY) }],
    queues: [{ queueId: 'manifest', poolId: 'quotes', teamIds: ['desk-two'], priority: 'batch' }],
  },
};

const KEY_REMOVAL_TICKET = { number: 6, remove: { keys: ['desk-two-1'] } };
const LOWER_NUMBERED_TICKET = {
  number: 4,
  set: { teams: [{ teamId: 'desk-two', shareWeight: 9, upperLimit: 9 }] },
};
const NEGATIVE_LIMIT_TICKET = {
  number: 7,
  set: { teams: [{ teamId: 'desk-three', shareWeight: 1, upperLimit: -1 }] },
};
const UNKNOWN_POOL_TICKET = { number: 7, set: { queues: [{ queueId: 'lost', poolId: 'nowhere' }] } };

/** The requests of the session in order, each with the name under which its response is recorded. */
function sessionSteps(): readonly (readonly [string, () => Promise<JsonResponse>])[] {
  const firstTicket = demoTicket(deployment, { upperLimit: 16, slots: 8 });
  const newJob = (processors: number): Readonly<Record<string, unknown>> => ({
    queueId: 'quote',
    processors,
    memoryBytes: 1_024,
    accelerators: 0,
    runTimeMs: 1_000,
  });
  const submitJob = (processors: number): Promise<JsonResponse> =>
    sendJson(`${deployment.callerUrl(0)}/v1/jobs`, 'POST', DEMO_KEY, newJob(processors));
  return [
    [
      'a ticket without an operator token',
      () => sendJson(`${deployment.operatorUrl(0)}/v1/tickets`, 'GET', 'x'),
    ],
    ['the first ticket', () => sendAsOperator('/v1/tickets', firstTicket)],
    ['the same ticket again', () => sendAsOperator('/v1/tickets', firstTicket)],
    [
      'the same number with other content',
      () => sendAsOperator('/v1/tickets', { number: 1, remove: { teams: ['x'] } }),
    ],
    ['a dry run changes nothing', () => sendAsOperator('/v1/tickets?dryRun=true', SECOND_TICKET)],
    ['no team after the dry run', () => sendAsOperator('/v1/teams')],
    ['a second team', () => sendAsOperator('/v1/tickets', SECOND_TICKET)],
    [
      'a late ticket changes nothing that a later one set',
      () => sendAsOperator('/v1/tickets', LOWER_NUMBERED_TICKET),
    ],
    ['the teams', () => sendAsOperator('/v1/teams')],
    ['a negative limit', () => sendAsOperator('/v1/tickets', NEGATIVE_LIMIT_TICKET)],
    ['a pool that does not exist', () => sendAsOperator('/v1/tickets', UNKNOWN_POOL_TICKET)],
    ['a request', () => sendToQueue('/v1/queues/quote/price/1', DEMO_KEY)],
    [
      'a request with an idempotency key',
      () => sendToQueue('/v1/queues/quote/hold/2', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    [
      'its repetition is answered from the record',
      () => sendToQueue('/v1/queues/quote/hold/2', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    [
      'the idempotency key for another request',
      () => sendToQueue('/v1/queues/quote/hold/3', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    ['an unknown key', () => sendToQueue('/v1/queues/quote/price/1', 'nobody')],
    ['a queue of another team', () => sendToQueue('/v1/queues/manifest/check', DEMO_KEY)],
    ['a queue that does not exist', () => sendToQueue('/v1/queues/none/check', DEMO_KEY)],
    [
      'a priority that does not exist',
      () => sendToQueue('/v1/queues/quote/price/1', DEMO_KEY, { 'endivestand-priority': 'first' }),
    ],
    ['a job that fits nowhere', () => submitJob(4_000)],
    ['the other team works', () => sendToQueue('/v1/queues/manifest/check', SECOND_TEAM_KEY)],
    ['its key is withdrawn', () => sendAsOperator('/v1/tickets', KEY_REMOVAL_TICKET)],
    ['the withdrawn key is refused', () => sendToQueue('/v1/queues/manifest/check', SECOND_TEAM_KEY)],
    ['the accepted tickets', () => sendAsOperator('/v1/tickets')],
  ];
}

test('a session of operators and callers gets the responses in the golden file', async () => {
  const steps: RecordedStep[] = [];
  for (const [name, send] of sessionSteps()) steps.push(recordStep(name, await send()));
  const text = `${JSON.stringify(steps, null, 2)}\n`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(GOLDEN_FILE, text);
  expect(JSON.parse(text)).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
});
