import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { hashKey } from '../admission/key_index';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { Deployment, OPERATOR_TOKEN, sendJson, type JsonAnswer } from './deployment';

const GOLDEN_FILE = join(__dirname, 'session.golden.json');
const OTHER_KEY = 'key-of-desk-two';
/** Ids, addresses and counts that differ from run to run. */
const VOLATILE_FIELDS: ReadonlySet<string> = new Set([
  'jobId',
  'submittedAtMs',
  'port',
  'instanceId',
  'lastAnswerAtMs',
]);
const HEADERS_OF_INTEREST = ['retry-after', 'endivestand-replayed'];

interface Step {
  readonly name: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: unknown;
}

let deployment: Deployment;

beforeAll(async () => {
  deployment = await Deployment.start({ entryInstances: 2, workers: 2, serviceMs: 1 });
});

afterAll(async () => {
  await deployment.stop();
});

function withoutVolatile(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withoutVolatile);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      VOLATILE_FIELDS.has(name) ? '*' : withoutVolatile(field),
    ]),
  );
}

function toStep(name: string, answer: JsonAnswer): Step {
  const headers = Object.fromEntries(
    HEADERS_OF_INTEREST.flatMap((header) => {
      const value = answer.headers[header];
      return value === undefined ? [] : [[header, value]];
    }),
  );
  return { name, status: answer.status, headers, body: withoutVolatile(answer.body) };
}

function call(
  path: string,
  key: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
  return sendJson(`${deployment.callerUrl(0)}${path}`, 'POST', key, { amount: 3 }, headers);
}

function operate(path: string, ticket?: unknown): Promise<JsonAnswer> {
  const method = ticket === undefined ? 'GET' : 'POST';
  return sendJson(`${deployment.operatorUrl(1)}${path}`, method, OPERATOR_TOKEN, ticket);
}

const SECOND_TICKET = {
  number: 5,
  set: {
    teams: [{ teamId: 'desk-two', shareWeight: 2, upperLimit: 4 }],
    keys: [{ keyId: 'desk-two-1', teamId: 'desk-two', keyHashHex: hashKey(OTHER_KEY) }],
    queues: [{ queueId: 'manifest', poolId: 'quotes', teamIds: ['desk-two'], priority: 'batch' }],
  },
};

const WITHDRAWAL = { number: 6, remove: { keys: ['desk-two-1'] } };
const LATE_TICKET = { number: 4, set: { teams: [{ teamId: 'desk-two', shareWeight: 9, upperLimit: 9 }] } };
const BROKEN_TICKET = {
  number: 7,
  set: { teams: [{ teamId: 'desk-three', shareWeight: 1, upperLimit: -1 }] },
};
const DANGLING_TICKET = { number: 7, set: { queues: [{ queueId: 'lost', poolId: 'nowhere' }] } };

/** The session, step by step. */
function session(): readonly (readonly [string, () => Promise<JsonAnswer>])[] {
  const firstTicket = demoTicket(deployment, { upperLimit: 16, slots: 8 });
  const jobOf = (processors: number): Readonly<Record<string, unknown>> => ({
    queueId: 'quote',
    processors,
    memoryBytes: 1_024,
    accelerators: 0,
    runTimeMs: 1_000,
  });
  const submit = (processors: number): Promise<JsonAnswer> =>
    sendJson(`${deployment.callerUrl(0)}/v1/jobs`, 'POST', DEMO_KEY, jobOf(processors));
  return [
    [
      'a ticket without an operator token',
      () => sendJson(`${deployment.operatorUrl(0)}/v1/tickets`, 'GET', 'x'),
    ],
    ['the first ticket', () => operate('/v1/tickets', firstTicket)],
    ['the same ticket again', () => operate('/v1/tickets', firstTicket)],
    [
      'the same number with other content',
      () => operate('/v1/tickets', { number: 1, remove: { teams: ['x'] } }),
    ],
    ['a dry run changes nothing', () => operate('/v1/tickets?dryRun=true', SECOND_TICKET)],
    ['no team after the dry run', () => operate('/v1/teams')],
    ['a second team', () => operate('/v1/tickets', SECOND_TICKET)],
    ['a late ticket changes nothing that a later one set', () => operate('/v1/tickets', LATE_TICKET)],
    ['the teams', () => operate('/v1/teams')],
    ['a negative limit', () => operate('/v1/tickets', BROKEN_TICKET)],
    ['a pool that does not exist', () => operate('/v1/tickets', DANGLING_TICKET)],
    ['a request', () => call('/v1/queues/quote/price/1', DEMO_KEY)],
    [
      'a request with an idempotency key',
      () => call('/v1/queues/quote/hold/2', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    [
      'its repetition is answered from the record',
      () => call('/v1/queues/quote/hold/2', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    [
      'the idempotency key for another request',
      () => call('/v1/queues/quote/hold/3', DEMO_KEY, { 'idempotency-key': 'a' }),
    ],
    ['an unknown key', () => call('/v1/queues/quote/price/1', 'nobody')],
    ['a queue of another team', () => call('/v1/queues/manifest/check', DEMO_KEY)],
    ['a queue that does not exist', () => call('/v1/queues/none/check', DEMO_KEY)],
    [
      'a priority that does not exist',
      () => call('/v1/queues/quote/price/1', DEMO_KEY, { 'endivestand-priority': 'first' }),
    ],
    ['a job that fits nowhere', () => submit(4_000)],
    ['the other team works', () => call('/v1/queues/manifest/check', OTHER_KEY)],
    ['its key is withdrawn', () => operate('/v1/tickets', WITHDRAWAL)],
    ['the withdrawn key is refused', () => call('/v1/queues/manifest/check', OTHER_KEY)],
    ['the accepted tickets', () => operate('/v1/tickets')],
  ];
}

test('a whole session of operators and callers goes as recorded', async () => {
  const steps: Step[] = [];
  for (const [name, run] of session()) steps.push(toStep(name, await run()));
  const text = `${JSON.stringify(steps, null, 2)}\n`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(GOLDEN_FILE, text);
  expect(JSON.parse(text)).toEqual(JSON.parse(readFileSync(GOLDEN_FILE, 'utf8')));
});
