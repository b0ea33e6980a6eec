/** Guards against accepted removed keys, tickets applied twice and lost requests when real processes pause, crash or stop. */
import { hashKey } from '../admission/key_index';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { Deployment, OPERATOR_TOKEN, sendJson, type JsonResponse } from './deployment';

const SECOND_KEY = 'another-key-of-desk-one';
const UNKNOWN_KEY_CODE = 1003;
const STALE_CONFIGURATION_CODE = 2005;

let deployment: Deployment;

beforeEach(async () => {
  deployment = await Deployment.start({ entryInstanceCount: 2, workerCount: 2, serviceMs: 1 });
  const response = await deployment.applyTicket(demoTicket(deployment, { upperLimit: 100, slots: 8 }));
  expect(response.status).toBe(200);
  await waitUntilServing(1);
});

afterEach(async () => {
  deployment.entryInstances.forEach((entry) => entry.child.kill('SIGCONT'));
  await deployment.stop();
});

function sendRequest(entryIndex: number, key = DEMO_KEY): Promise<JsonResponse> {
  return sendJson(`${deployment.callerUrl(entryIndex)}/v1/queues/quote/price`, 'GET', key);
}

/** Waits until the entry instance reports that it is ready and serves a request. */
async function waitUntilServing(entryIndex: number): Promise<void> {
  for (;;) {
    const { body } = await sendJson(`${deployment.operatorUrl(entryIndex)}/ready`, 'GET', '');
    const response = await sendRequest(entryIndex);
    if (body.ready === true && response.status === 200) return;
  }
}

async function setTableFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
  await sendJson(`http://127.0.0.1:${deployment.table.port('port')}/faults`, 'POST', '', faults);
}

describe('entry instance processes', () => {
  test('an entry instance that resumes after a pause does not accept a key that was removed during the pause', async () => {
    const [, paused] = deployment.entryInstances;
    paused?.child.kill('SIGSTOP');
    const removal = await deployment.applyTicket({ number: 2, remove: { keys: ['desk-one-1'] } });
    expect(removal.body).toMatchObject({ status: 'in_effect' });
    paused?.child.kill('SIGCONT');
    const codes = new Set<unknown>();
    for (;;) {
      const { body } = await sendRequest(1);
      codes.add(body.code);
      if (body.code === UNKNOWN_KEY_CODE) break;
    }
    for (const code of codes) expect([UNKNOWN_KEY_CODE, STALE_CONFIGURATION_CODE]).toContain(code);
  });

  test('after one entry instance is killed, the other one still serves requests and accepts tickets', async () => {
    await deployment.entryInstances[1]?.stop('SIGKILL');
    expect((await sendRequest(0)).status).toBe(200);
    const response = await deployment.applyTicket({
      number: 2,
      set: { keys: [{ keyId: 'desk-one-2', teamId: 'desk-one', keyHashHex: hashKey(SECOND_KEY) }] },
    });
    expect(response.body).toMatchObject({ status: 'in_effect' });
    expect((await sendRequest(0, SECOND_KEY)).status).toBe(200);
  });

  test('a ticket for which the response of the table service is lost is applied exactly once', async () => {
    await setTableFaults({ loseAnswers: 1 });
    const ticket = { number: 2, set: { teams: [{ teamId: 'desk-two', shareWeight: 2, upperLimit: 5 }] } };
    expect((await deployment.applyTicket(ticket)).body).toMatchObject({ status: 'in_effect' });
    expect((await deployment.applyTicket(ticket)).body).toMatchObject({ status: 'already_accepted' });
    const { body } = await sendJson(`${deployment.operatorUrl(0)}/v1/teams`, 'GET', OPERATOR_TOKEN);
    expect(body.teams).toHaveLength(2);
  });

  test('a graceful stop completes the requests in flight and exits with code 0', async () => {
    const responses = Array.from({ length: 20 }, () => sendRequest(1));
    const [first] = responses;
    await first;
    const exitCode = deployment.entryInstances[1]?.stop();
    expect((await Promise.all(responses)).map(({ status }) => status)).toEqual(Array(20).fill(200));
    expect(await exitCode).toBe(0);
  });
});
