import fc from 'fast-check';
import { EMPTY_CONFIGURATION, instanceSchema, type FleetConfiguration, type Instance } from '../model/fleet';
import type { ListedInstance } from '../platform/instance_list';
import { DrainingTargetTracker } from './draining_target_tracker';
import { eject, HEALTHY, healthState, isOutlier, recordResult, type TargetHealth } from './outlier_ejection';
import { decideRetry, RetryBudget, type RetryInput } from './retry_policy';
import { pickTarget } from './routing';
import { TargetSelector } from './target_selector';

function fleetOf(count: number, connections = 64): FleetConfiguration {
  const instances = Array.from({ length: count }, (_, index): Instance =>
    instanceSchema.parse({
      instanceId: `w${index}`,
      poolId: 'quotes',
      host: '127.0.0.1',
      port: 1,
      availabilityZone: `zone-${index % 3}`,
      rack: 'rack-1',
      connections,
    }),
  );
  const states = instances.map(({ instanceId }) => ({
    instanceId,
    poolId: 'quotes',
    movingTo: null,
    state: 'serving' as const,
    epoch: 0,
  }));
  return {
    ...EMPTY_CONFIGURATION,
    instances: new Map(instances.map((instance) => [instance.instanceId, instance])),
    instanceStates: new Map(states.map((state) => [state.instanceId, state])),
  };
}

function tableOf(
  fleet: FleetConfiguration,
  drainingTracker = new DrainingTargetTracker(),
  entryInstanceCount = 1,
): TargetSelector {
  const options = { drainingTracker, availabilityZone: 'zone-0', random: Math.random };
  return new TargetSelector({ ...options, fleet: () => fleet, entryInstanceCount: () => entryInstanceCount });
}

function listing(...instances: readonly ListedInstance[]): {
  lagMs: number;
  instances: readonly ListedInstance[];
} {
  return { lagMs: 1_000, instances };
}

function live(instanceId: string, bootId: string): ListedInstance {
  return { instanceId, bootId, state: 'live' };
}

describe('DrainingTargetTracker', () => {
  const leaving: ListedInstance = { instanceId: 'w0', bootId: 'b1', state: 'leaving' };
  const sources: readonly [string, (marks: DrainingTargetTracker) => void][] = [
    [
      'the list',
      (marks) => {
        marks.observeListing(listing(leaving), 100);
      },
    ],
    [
      'its absence from the list',
      (marks) => {
        marks.observeListing(listing(), 100);
      },
    ],
    [
      'a refused connection',
      (marks) => {
        marks.recordRefusedConnection('w0', 100);
      },
    ],
    [
      'a peer',
      (marks) => {
        marks.observePeer('p', [{ instanceId: 'w0', bootId: 'b1', reason: 'listed' }], 100);
      },
    ],
  ];

  test.each(sources)('%s is enough, and only another boot clears it', (_name, tell) => {
    const marks = new DrainingTargetTracker();
    marks.observeListing(listing(live('w0', 'b1')), 0);
    expect(marks.isDraining('w0', 50)).toBe(false);
    tell(marks);
    expect(marks.isDraining('w0', 100)).toBe(true);
    marks.observeListing(listing(live('w0', 'b2')), 5_000);
    expect(marks.isDraining('w0', 5_000)).toBe(false);
  });

  test.each(sources.filter(([name]) => !name.includes('absence')))(
    '%s outlives a list that lags',
    (_name, tell) => {
      const marks = new DrainingTargetTracker();
      marks.observeListing(listing(live('w0', 'b1')), 0);
      tell(marks);
      marks.observeListing(listing(live('w0', 'b1')), 2_000);
      expect(marks.isDraining('w0', 2_000)).toBe(true);
    },
  );

  test('a peer that knows a later boot is believed, one that speaks of an earlier boot is not', () => {
    const marks = new DrainingTargetTracker();
    marks.observeListing(listing(live('w0', 'b1')), 0);
    marks.observePeer('p', [{ instanceId: 'w0', bootId: 'b2', reason: 'listed' }], 100);
    marks.observeListing(listing(live('w0', 'b2')), 1_000);
    expect(marks.isDraining('w0', 1_000)).toBe(true);
    marks.observeListing(listing(live('w0', 'b3')), 2_000);
    marks.observePeer('p', [{ instanceId: 'w0', bootId: 'b2', reason: 'listed' }], 2_100);
    expect(marks.isDraining('w0', 2_100)).toBe(false);
  });

  test('without a list a refused target is tried again after a while', () => {
    const marks = new DrainingTargetTracker();
    marks.recordRefusedConnection('w0', 0);
    expect(marks.isDraining('w0', 4_000)).toBe(true);
    expect(marks.isDraining('w0', 6_000)).toBe(false);
  });

  test('reports of other instances do not come back as own marks', () => {
    const marks = new DrainingTargetTracker();
    marks.observePeer('p', [{ instanceId: 'w0', bootId: 'b1', reason: 'refused' }], 0);
    expect(marks.ownMarks()).toEqual([]);
    marks.forgetPeer('p');
    expect(marks.isDraining('w0', 0)).toBe(false);
  });
});

describe('outlier ejection', () => {
  test('takes out the target that fails everything, and not a pool that fails alike', () => {
    const fails = Array.from({ length: 8 }).reduce<TargetHealth>(
      (health) => recordResult(health, false, 0),
      HEALTHY,
    );
    const works = Array.from({ length: 8 }).reduce<TargetHealth>(
      (health) => recordResult(health, true, 0),
      HEALTHY,
    );
    expect(isOutlier(fails, [works, works], 0)).toBe(true);
    expect(isOutlier(fails, [fails, fails], 0)).toBe(false);
    expect(isOutlier(fails, [works], 0)).toBe(false);
  });

  test('probes after the ejection, ejects for longer after a failed probe, and recovers', () => {
    const ejected = eject(HEALTHY, 0);
    expect(healthState(ejected, 4_999)).toBe('ejected');
    expect(healthState(ejected, 5_000)).toBe('probing');
    const again = recordResult(ejected, false, 5_000);
    expect([healthState(again, 14_999), healthState(again, 15_000)]).toEqual(['ejected', 'probing']);
    const recovered = [0, 1, 2].reduce<TargetHealth>((health) => recordResult(health, true, 15_000), again);
    expect(healthState(recovered, 15_000)).toBe('healthy');
  });

  test('never takes out more than a third of a pool, whatever the results', () => {
    const result = fc.record({ target: fc.nat(8), isSuccess: fc.boolean(), waitMs: fc.nat(400) });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.array(result, { maxLength: 200 }), (count, results) => {
        const fleet = fleetOf(count);
        const table = tableOf(fleet);
        let nowMs = 0;
        for (const { target, isSuccess, waitMs } of results) {
          nowMs += waitMs;
          const instance = fleet.instances.get(`w${target % count}`);
          // Low numbers fail mostly, so that there are outliers.
          if (instance) table.recordResult(instance, isSuccess && target % count > 3, nowMs);
          const states = [...fleet.instances.keys()].map((id) => table.healthState(id, nowMs));
          const away = states.filter((state) => state !== 'healthy').length;
          expect(away).toBeLessThanOrEqual(Math.floor(count / 3));
        }
      }),
      { seed: 20_261_204, numRuns: 200 },
    );
  });
});

describe('TargetSelector', () => {
  const query = { poolId: 'quotes', tried: new Set<string>(), isIdempotent: false };

  test('uses only serving targets that nobody says are leaving', () => {
    const marks = new DrainingTargetTracker();
    const fleet = fleetOf(3);
    const state = fleet.instanceStates.get('w1');
    if (!state) throw new Error('w1 is missing');
    const states = new Map(fleet.instanceStates).set('w1', { ...state, state: 'draining' });
    const table = tableOf({ ...fleet, instanceStates: states }, marks);
    marks.recordRefusedConnection('w2', 0);
    const picked = Array.from({ length: 20 }, () => table.choose(query, 0));
    expect(new Set(picked.map((choice) => choice.kind === 'target' && choice.instance.instanceId))).toEqual(
      new Set(['w0']),
    );
    marks.recordRefusedConnection('w0', 0);
    expect(table.choose(query, 0).kind).toBe('none');
  });

  test('keeps to its part of the connections of a target', () => {
    const table = tableOf(fleetOf(1, 8), new DrainingTargetTracker(), 4);
    table.started('w0', 0);
    table.started('w0', 0);
    expect(table.choose(query, 0).kind).toBe('busy');
    table.finished('w0');
    expect(table.choose(query, 0).kind).toBe('target');
  });

  test('probes a target under probation with one repeatable request at a time', () => {
    const fleet = fleetOf(3);
    const table = tableOf(fleet);
    const bad = fleet.instances.get('w0');
    if (!bad) throw new Error('w0 is missing');
    for (let index = 0; index < 8; index += 1) table.recordResult(bad, false, 0);
    const idsAt = (isIdempotent: boolean): ReadonlySet<unknown> =>
      new Set(
        Array.from({ length: 30 }, () => {
          const choice = table.choose({ ...query, isIdempotent }, 6_000);
          return choice.kind === 'target' ? choice.instance.instanceId : choice.kind;
        }),
      );
    expect(idsAt(false).has('w0')).toBe(false);
    expect(idsAt(true)).toEqual(new Set(['w0']));
    table.started('w0', 6_000);
    expect(idsAt(true).has('w0')).toBe(false);
  });

  test('of two candidates takes the less loaded, on a tie the one in the own zone', () => {
    const near = { instanceId: 'near', availabilityZone: 'zone-1', load: 0.5 };
    const far = { instanceId: 'far', availabilityZone: 'zone-2', load: 0.5 };
    fc.assert(
      fc.property(fc.double({ min: 0, max: 0.999, noNaN: true }), (value) => {
        expect(pickTarget([near, far], 'zone-1', () => value)).toBe(near);
        const idle = { ...far, load: 0.25 };
        expect(pickTarget([near, idle], 'zone-1', () => value)).toBe(idle);
      }),
      { seed: 20_261_204 },
    );
  });
});

describe('retries', () => {
  const input: RetryInput = {
    outcome: 'not_run',
    reason: 'refused',
    isIdempotent: false,
    attempts: 1,
    nowMs: 0,
    deadlineAtMs: 1_000,
    isBudgetAvailable: true,
    random: 0.5,
  };

  test.each<[string, Partial<RetryInput>]>([
    ['outcome', { outcome: 'may_have_run', reason: 'reset' }],
    ['final', { reason: 'cancelled_before_send' }],
    ['attempts', { attempts: 3 }],
    ['budget', { isBudgetAvailable: false }],
    ['deadline', { nowMs: 999 }],
  ])('are not made because of the %s', (because, change) => {
    expect(decideRetry(input).kind).toBe('retry');
    expect(decideRetry({ ...input, ...change })).toEqual({ kind: 'stop', because });
  });

  test('are made for a request that may be repeated after it may have run', () => {
    const change = { outcome: 'may_have_run', reason: 'reset', isIdempotent: true } as const;
    expect(decideRetry({ ...input, ...change }).kind).toBe('retry');
  });

  test('stay within a tenth of the requests and the credit at the start', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (wanted) => {
        const budget = new RetryBudget();
        let retries = 0;
        for (const wantsRetry of wanted) {
          budget.addRequest();
          while (wantsRetry && budget.isAvailable()) {
            budget.spend();
            retries += 1;
          }
        }
        expect(retries).toBeLessThanOrEqual(10 + wanted.length / 10);
      }),
      { seed: 20_261_204 },
    );
  });
});
