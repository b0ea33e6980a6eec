import { hashKey } from '../admission/key_index';
import { DEMO_KEY, demoTicket } from './demo_ticket';
import { Deployment, OPERATOR_TOKEN, sendJson, type JsonAnswer } from './deployment';

const OTHER_KEY = 'another-key-of-desk-one';
const UNKNOWN_KEY = 1003;
const STALE_CONFIGURATION = 2005;

let deployment: Deployment;

beforeEach(async () => {
  deployment = await Deployment.start({ entryInstances: 2, workers: 2, serviceMs: 1 });
  const answer = await deployment.applyTicket(demoTicket(deployment, { upperLimit: 100, slots: 8 }));
  expect(answer.status).toBe(200);
  await untilReady(1);
});

afterEach(async () => {
  deployment.entries.forEach((entry) => entry.child.kill('SIGCONT'));
  await deployment.stop();
});

function ask(entry: number, key = DEMO_KEY): Promise<JsonAnswer> {
  return sendJson(`${deployment.callerUrl(entry)}/v1/queues/quote/price`, 'GET', key);
}

async function untilReady(entry: number): Promise<void> {
  for (;;) {
    const { body } = await sendJson(`${deployment.operatorUrl(entry)}/ready`, 'GET', '');
    const answer = await ask(entry);
    if (body.ready === true && answer.status === 200) return;
  }
}

async function setTableFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
  await sendJson(`http://127.0.0.1:${deployment.table.port('port')}/faults`, 'POST', '', faults);
}

describe('entry instances as processes', () => {
  test('a paused entry instance does not accept a key that was withdrawn meanwhile', async () => {
    const [, paused] = deployment.entries;
    paused?.child.kill('SIGSTOP');
    const withdrawal = await deployment.applyTicket({ number: 2, remove: { keys: ['desk-one-1'] } });
    expect(withdrawal.body).toMatchObject({ status: 'in_effect' });
    paused?.child.kill('SIGCONT');
    const codes = new Set<unknown>();
    for (;;) {
      const { body } = await ask(1);
      codes.add(body.code);
      if (body.code === UNKNOWN_KEY) break;
    }
    for (const code of codes) expect([UNKNOWN_KEY, STALE_CONFIGURATION]).toContain(code);
  });

  test('the other entry instance goes on when one is killed, and accepts tickets', async () => {
    await deployment.entries[1]?.stop('SIGKILL');
    expect((await ask(0)).status).toBe(200);
    const ticket = await deployment.applyTicket({
      number: 2,
      set: { keys: [{ keyId: 'desk-one-2', teamId: 'desk-one', keyHashHex: hashKey(OTHER_KEY) }] },
    });
    expect(ticket.body).toMatchObject({ status: 'in_effect' });
    expect((await ask(0, OTHER_KEY)).status).toBe(200);
  });

  test('a ticket whose answer from the table was lost is accepted once', async () => {
    await setTableFaults({ loseAnswers: 1 });
    const ticket = { number: 2, set: { teams: [{ teamId: 'desk-two', shareWeight: 2, upperLimit: 5 }] } };
    expect((await deployment.applyTicket(ticket)).body).toMatchObject({ status: 'in_effect' });
    expect((await deployment.applyTicket(ticket)).body).toMatchObject({ status: 'already_accepted' });
    const { body } = await sendJson(`${deployment.operatorUrl(0)}/v1/teams`, 'GET', OPERATOR_TOKEN);
    expect(body.teams).toHaveLength(2);
  });

  test('a graceful stop answers the requests in flight and exits with 0', async () => {
    const answers = Array.from({ length: 20 }, () => ask(1));
    const [first] = answers;
    await first;
    const exitCode = deployment.entries[1]?.stop();
    expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(Array(20).fill(200));
    expect(await exitCode).toBe(0);
  });
});
