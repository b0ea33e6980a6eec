/** Guards against fencing members that are running, and against acting on a stale configuration. */
import { FENCE_WAIT_MS, FRESHNESS_MS } from '../config/freshness';
import { VirtualClock } from '../kernel/virtual_clock';
import { RESULT_CODES } from '../model/result_code';
import { ticketSchema } from '../model/ticket';
import { MAX_WORK_MS } from './membership';
import { SimulatedDeployment, type SimulatedMember } from './simulated_deployment';

const STEP_MS = 20;

async function startDeployment(count: number): Promise<SimulatedDeployment> {
  const deployment = new SimulatedDeployment(new VirtualClock());
  for (let index = 1; index <= count; index += 1) deployment.start(`m${index}`);
  await deployment.clock.advanceAsync(4_000, STEP_MS);
  return deployment;
}

function memberOf(deployment: SimulatedDeployment, index: number): SimulatedMember {
  const member = deployment.members[index];
  if (member === undefined) throw new Error(`There is no member ${index}.`);
  return member;
}

function statuses(deployment: SimulatedDeployment, from = 0): Readonly<Record<string, string>> {
  const rows = memberOf(deployment, from).membership.registered();
  return Object.fromEntries(rows.map(({ memberId, status }) => [memberId, status]));
}

const freshness = (deployment: SimulatedDeployment): readonly boolean[] =>
  deployment.members.map(({ configuration }) => configuration.isFresh());

const ticket = ticketSchema.parse({
  number: 1,
  set: { teams: [{ teamId: 'a', shareWeight: 1, upperLimit: 1 }] },
});

beforeEach(() => {
  jest.spyOn(Math, 'random').mockReturnValue(0.5);
});

afterEach(() => {
  jest.restoreAllMocks();
});

describe('MembershipService', () => {
  test('members become active, and a ticket takes effect once all have acknowledged it, without waiting for FENCE_WAIT_MS', async () => {
    const deployment = await startDeployment(3);
    expect(deployment.members.every((member) => member.isActive())).toBe(true);
    const applied = memberOf(deployment, 0).tickets.apply(ticket);
    await deployment.clock.advanceAsync(200, STEP_MS);
    expect(await applied).toMatchObject({ status: 'in_effect' });
    expect(deployment.members.map(({ configuration }) => configuration.head().revision)).toEqual([1, 1, 1]);
    expect(freshness(deployment)).toEqual([true, true, true]);
  });

  test('a silent member is fenced, registers again when it resumes, and its old incarnation ends after the wait', async () => {
    const deployment = await startDeployment(3);
    const silent = memberOf(deployment, 2);
    const observer = memberOf(deployment, 0);
    const incarnation = silent.membership.self()?.incarnation ?? '';
    silent.pause();
    await deployment.clock.advanceAsync(4_500, STEP_MS);
    expect(observer.membership.incarnationState('m3', incarnation)).toBe('live');
    await deployment.clock.advanceAsync(2_500, STEP_MS);
    expect(observer.membership.incarnationState('m3', incarnation)).toBe('fencing');
    silent.resume(() => {
      expect(silent.configuration.isFresh()).toBe(false);
    });
    await deployment.clock.advanceAsync(5_000, STEP_MS);
    expect(silent.isActive()).toBe(true);
    expect(silent.membership.self()?.incarnation).not.toBe(incarnation);
    expect(observer.membership.incarnationState('m3', incarnation)).toBe('fencing');
    await deployment.clock.advanceAsync(FENCE_WAIT_MS + MAX_WORK_MS, 100);
    expect(observer.membership.incarnationState('m3', incarnation)).toBe('ended');
    expect(observer.membership.incarnationState('m3', 'unknown')).toBe('ended');
  });

  test('a member fences no others after its own pause or after a table outage', async () => {
    const deployment = await startDeployment(3);
    memberOf(deployment, 0).pause();
    await deployment.clock.advanceAsync(4_000, STEP_MS);
    memberOf(deployment, 0).resume();
    await deployment.clock.advanceAsync(2_000, STEP_MS);
    expect(statuses(deployment)).toEqual({ m1: 'active', m2: 'active', m3: 'active' });
    deployment.setTableDown(true);
    deployment.network.setPartitioned('m1', 'm2', true);
    deployment.network.setPartitioned('m1', 'm3', true);
    await deployment.clock.advanceAsync(20_000, 100);
    deployment.network.setPartitioned('m1', 'm2', false);
    deployment.network.setPartitioned('m1', 'm3', false);
    deployment.setTableDown(false);
    await deployment.clock.advanceAsync(5_000, STEP_MS);
    expect(
      deployment.members.map(({ counters }) => counters.snapshot().get('membership.fenced:silent')),
    ).toEqual([undefined, undefined, undefined]);
  });

  test('two members that cannot reach each other are not fenced while a third is in contact with both', async () => {
    const deployment = await startDeployment(3);
    deployment.network.setPartitioned('m1', 'm2', true);
    await deployment.clock.advanceAsync(10_000, 100);
    expect(statuses(deployment, 2)).toEqual({ m1: 'active', m2: 'active', m3: 'active' });
    expect(memberOf(deployment, 0).counters.snapshot().get('membership.fence_withheld')).toBeGreaterThan(0);
  });

  test('a silent member that the platform no longer lists is fenced before the silence limit', async () => {
    const deployment = await startDeployment(2);
    memberOf(deployment, 1).pause();
    const instances = [{ instanceId: 'm1', bootId: 'b', state: 'live' as const }];
    deployment.listing = { lagMs: 0, instances };
    await deployment.clock.advanceAsync(3_000, STEP_MS);
    expect(statuses(deployment)).toEqual({ m1: 'active' });
  });

  test('a joining member accepts no tickets until every registered member has seen it', async () => {
    const deployment = await startDeployment(2);
    memberOf(deployment, 1).pause();
    const joining = deployment.start('m3');
    await deployment.clock.advanceAsync(2_000, STEP_MS);
    expect(joining.membership.self()?.status).toBe('joining');
    await expect(joining.tickets.apply(ticket)).rejects.toMatchObject({ result: RESULT_CODES.notActive });
    memberOf(deployment, 1).resume();
    await deployment.clock.advanceAsync(2_000, STEP_MS);
    expect(joining.isActive()).toBe(true);
  });

  test('a new process with the same member id replaces the old one, which does not take the row back', async () => {
    const deployment = await startDeployment(2);
    const old = memberOf(deployment, 1);
    const incarnation = old.membership.self()?.incarnation ?? '';
    old.pause();
    const successor = deployment.start('m2');
    await deployment.clock.advanceAsync(6_000, STEP_MS);
    old.resume();
    await deployment.clock.advanceAsync(3_000, STEP_MS);
    expect([old.configuration.isFresh(), successor.isActive()]).toEqual([false, true]);
    expect(memberOf(deployment, 0).membership.incarnationState('m2', incarnation)).toBe('fencing');
    expect(old.counters.snapshot().get('membership.lost:id_in_use')).toBe(1);
  });

  test('members without the table stop being fresh after a member they know was replaced by a process they do not know', async () => {
    const deployment = await startDeployment(3);
    deployment.setTableDown(true);
    const old = memberOf(deployment, 2);
    old.pause();
    const successor = deployment.start('m3');
    await deployment.clock.advanceAsync(1_000, STEP_MS);
    old.resume();
    await deployment.clock.advanceAsync(12_000, STEP_MS);
    expect(successor.isActive()).toBe(true);
    expect(freshness(deployment).slice(0, 3)).toEqual([false, false, false]);
  });

  test('a restarted member fences the others after all of them have crashed, and becomes active', async () => {
    const deployment = await startDeployment(3);
    for (const member of deployment.members) member.pause();
    const successor = deployment.start('m1');
    await deployment.clock.advanceAsync(12_000, STEP_MS);
    expect(successor.isActive()).toBe(true);
    expect(statuses(deployment, 3)).toEqual({ m1: 'active' });
  });

  test('a joining member does not fence members that stay fresh on the confirmations of each other', async () => {
    const deployment = await startDeployment(2);
    deployment.setTableDown(true);
    const joining = deployment.start('m3');
    for (const other of ['m1', 'm2']) deployment.network.setPartitioned('m3', other, true);
    await deployment.clock.advanceAsync(15_000, STEP_MS);
    expect(freshness(deployment).slice(0, 2)).toEqual([true, true]);
    expect(joining.membership.self()?.status).toBe('joining');
    expect(statuses(deployment, 2)).toEqual({ m1: 'active', m2: 'active', m3: 'joining' });
  });

  test('a member that is stopped leaves, and its incarnation ends without a wait', async () => {
    const deployment = await startDeployment(2);
    const incarnation = memberOf(deployment, 1).membership.self()?.incarnation ?? '';
    const stopped = memberOf(deployment, 1).kernel.stop();
    await deployment.clock.advanceAsync(1_000, STEP_MS);
    await stopped;
    expect(memberOf(deployment, 0).membership.incarnationState('m2', incarnation)).toBe('ended');
    expect(freshness(deployment)[0]).toBe(true);
  });
});

test('a ticket after a fence takes effect only when the evidence of the fenced member has expired', async () => {
  const deployment = await startDeployment(3);
  const [committer, , isolated] = deployment.members;
  if (committer === undefined || isolated === undefined) throw new Error('Three members are expected.');
  isolated.table.service.faults = { ...isolated.table.service.faults, down: true };
  for (const other of ['m1', 'm2']) deployment.network.setPartitioned('m3', other, true);
  const instances = ['m1', 'm2'].map((instanceId) => ({ instanceId, bootId: 'b', state: 'live' as const }));
  deployment.listing = { lagMs: 0, instances };
  while (statuses(deployment).m3 !== undefined) await deployment.clock.advanceAsync(STEP_MS, STEP_MS);
  expect(isolated.configuration.isFresh()).toBe(true);
  const progress = { done: false };
  const applied = committer.tickets.apply(ticket).then((result) => {
    progress.done = true;
    expect(isolated.configuration.isFresh()).toBe(false);
    return result;
  });
  while (!progress.done) await deployment.clock.advanceAsync(STEP_MS, STEP_MS);
  expect(await applied).toMatchObject({ status: 'in_effect' });
});

describe('table outage', () => {
  test('members that all reach each other stay fresh, and a partitioned pair is stale after FRESHNESS_MS', async () => {
    const deployment = await startDeployment(3);
    deployment.setTableDown(true);
    for (let step = 0; step < 300; step += 1) {
      await deployment.clock.advanceAsync(100, STEP_MS);
      expect(freshness(deployment)).toEqual([true, true, true]);
    }
    deployment.network.setPartitioned('m1', 'm2', true);
    await deployment.clock.advanceAsync(FRESHNESS_MS + STEP_MS, STEP_MS);
    // The third member still receives the confirmations of both.
    expect(freshness(deployment)).toEqual([false, false, true]);
    deployment.setTableDown(false);
    await deployment.clock.advanceAsync(2_000, STEP_MS);
    expect(freshness(deployment)).toEqual([true, true, true]);
  });

  test('a member that alone cannot reach the table stays fresh on evidence that its peers forward', async () => {
    const deployment = await startDeployment(3);
    const { service } = memberOf(deployment, 0).table;
    service.faults = { ...service.faults, down: true };
    deployment.network.setPartitioned('m1', 'm2', true);
    await deployment.clock.advanceAsync(4_000, STEP_MS);
    expect(freshness(deployment)).toEqual([true, true, true]);
  });

  test('a member does not confirm the head while the outcome of its commit is unknown', async () => {
    const deployment = await startDeployment(3);
    const committer = memberOf(deployment, 0);
    committer.table.lateTransactionDelaysMs = [8_000];
    committer.table.onLateTransaction = () => {
      deployment.setTableDown(true);
    };
    const applied = committer.tickets.apply(ticket).catch((error: unknown) => error);
    await deployment.clock.advanceAsync(FRESHNESS_MS + 600, STEP_MS);
    expect(freshness(deployment)).toEqual([false, false, false]);
    await deployment.clock.advanceAsync(2_000, STEP_MS);
    expect(await applied).toMatchObject({ result: RESULT_CODES.ticketOutcomeUnknown });
    expect(freshness(deployment)).toEqual([false, false, false]);
    deployment.setTableDown(false);
    await deployment.clock.advanceAsync(8_000, STEP_MS);
    expect(freshness(deployment)).toEqual([true, true, true]);
    // The head was rewritten when the table was available again, so the late transaction was not applied.
    expect(deployment.store.read({ keys: ['ticket_number/1'] })).toEqual([]);
    deployment.setTableDown(true);
    await deployment.clock.advanceAsync(4_000, STEP_MS);
    expect(freshness(deployment)).toEqual([true, true, true]);
  });
});
