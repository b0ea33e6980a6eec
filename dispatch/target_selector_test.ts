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

function selectorOf(
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
  const drainingInstance: ListedInstance = { instanceId: 'w0', bootId: 'b1', state: 'leaving' };
  const sources: readonly [string, (tracker: DrainingTargetTracker) => void][] = [
    [
      'the list',
      (tracker) => {
        tracker.recordListing(listing(drainingInstance), 100);
      },
    ],
    [
      'its absence from the list',
      (tracker) => {
        tracker.recordListing(listing(), 100);
      },
    ],
    [
      'a refused connection',
      (tracker) => {
        tracker.recordRefusedConnection('w0', 100);
      },
    ],
    [
      'a report of a peer',
      (tracker) => {
        tracker.recordPeerReports('p', [{ instanceId: 'w0', bootId: 'b1', reason: 'listed' }], 100);
      },
    ],
  ];

  test.each(sources)('%s marks a target as draining until the list shows another boot', (_name, report) => {
    const tracker = new DrainingTargetTracker();
    tracker.recordListing(listing(live('w0', 'b1')), 0);
    expect(tracker.isDraining('w0', 50)).toBe(false);
    report(tracker);
    expect(tracker.isDraining('w0', 100)).toBe(true);
    tracker.recordListing(listing(live('w0', 'b2')), 5_000);
    expect(tracker.isDraining('w0', 5_000)).toBe(false);
  });

  test.each(sources.filter(([name]) => !name.includes('absence')))(
    '%s stays effective when a lagging list still shows the target as live',
    (_name, report) => {
      const tracker = new DrainingTargetTracker();
      tracker.recordListing(listing(live('w0', 'b1')), 0);
      report(tracker);
      tracker.recordListing(listing(live('w0', 'b1')), 2_000);
      expect(tracker.isDraining('w0', 2_000)).toBe(true);
    },
  );

  test('a report of a peer applies to a later boot but not to a former one', () => {
    const tracker = new DrainingTargetTracker();
    tracker.recordListing(listing(live('w0', 'b1')), 0);
    tracker.recordPeerReports('p', [{ instanceId: 'w0', bootId: 'b2', reason: 'listed' }], 100);
    tracker.recordListing(listing(live('w0', 'b2')), 1_000);
    expect(tracker.isDraining('w0', 1_000)).toBe(true);
    tracker.recordListing(listing(live('w0', 'b3')), 2_000);
    tracker.recordPeerReports('p', [{ instanceId: 'w0', bootId: 'b2', reason: 'listed' }], 2_100);
    expect(tracker.isDraining('w0', 2_100)).toBe(false);
  });

  test('without a list a target that refused a connection is tried again after some time', () => {
    const tracker = new DrainingTargetTracker();
    tracker.recordRefusedConnection('w0', 0);
    expect(tracker.isDraining('w0', 4_000)).toBe(true);
    expect(tracker.isDraining('w0', 6_000)).toBe(false);
  });

  test('reports of peers are not sent on as own reports', () => {
    const tracker = new DrainingTargetTracker();
    tracker.recordPeerReports('p', [{ instanceId: 'w0', bootId: 'b1', reason: 'refused' }], 0);
    expect(tracker.ownReports()).toEqual([]);
    tracker.dropPeerReports('p');
    expect(tracker.isDraining('w0', 0)).toBe(false);
  });
});

describe('outlier ejection', () => {
  test('ejects a target whose requests all fail, but not if the whole pool fails', () => {
    const failingTarget = Array.from({ length: 8 }).reduce<TargetHealth>(
      (health) => recordResult(health, false, 0),
      HEALTHY,
    );
    const healthyTarget = Array.from({ length: 8 }).reduce<TargetHealth>(
      (health) => recordResult(health, true, 0),
      HEALTHY,
    );
    expect(isOutlier(failingTarget, [healthyTarget, healthyTarget], 0)).toBe(true);
    expect(isOutlier(failingTarget, [failingTarget, failingTarget], 0)).toBe(false);
    expect(isOutlier(failingTarget, [healthyTarget], 0)).toBe(false);
  });

  test('probes after the ejection, ejects for longer after a failed probe, and recovers', () => {
    const ejected = eject(HEALTHY, 0);
    expect(healthState(ejected, 4_999)).toBe('ejected');
    expect(healthState(ejected, 5_000)).toBe('probing');
    const ejectedAgain = recordResult(ejected, false, 5_000);
    expect([healthState(ejectedAgain, 14_999), healthState(ejectedAgain, 15_000)]).toEqual([
      'ejected',
      'probing',
    ]);
    const recovered = [0, 1, 2].reduce<TargetHealth>(
      (health) => recordResult(health, true, 15_000),
      ejectedAgain,
    );
    expect(healthState(recovered, 15_000)).toBe('healthy');
  });

  test('never ejects more than a third of a pool, so that an overall failure does not empty it', () => {
    const result = fc.record({ target: fc.nat(8), isSuccess: fc.boolean(), waitMs: fc.nat(400) });
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), fc.array(result, { maxLength: 200 }), (count, results) => {
        const fleet = fleetOf(count);
        const selector = selectorOf(fleet);
        let nowMs = 0;
        for (const { target, isSuccess, waitMs } of results) {
          nowMs += waitMs;
          const instance = fleet.instances.get(`w${target % count}`);
          // Targets 0 to 3 always fail, so that there are outliers.
          if (instance) selector.recordResult(instance, isSuccess && target % count > 3, nowMs);
          const states = [...fleet.instances.keys()].map((id) => selector.healthState(id, nowMs));
          const unhealthy = states.filter((state) => state !== 'healthy').length;
          expect(unhealthy).toBeLessThanOrEqual(Math.floor(count / 3));
        }
      }),
      { seed: 20_261_204, numRuns: 200 },
    );
  });
});

describe('TargetSelector', () => {
  const query = { poolId: 'quotes', triedInstanceIds: new Set<string>(), isIdempotent: false };

  test('chooses only serving targets that are not reported as draining', () => {
    const tracker = new DrainingTargetTracker();
    const fleet = fleetOf(3);
    const state = fleet.instanceStates.get('w1');
    if (!state) throw new Error('w1 is missing');
    const states = new Map(fleet.instanceStates).set('w1', { ...state, state: 'draining' });
    const selector = selectorOf({ ...fleet, instanceStates: states }, tracker);
    tracker.recordRefusedConnection('w2', 0);
    const picked = Array.from({ length: 20 }, () => selector.choose(query, 0));
    expect(new Set(picked.map((choice) => choice.kind === 'target' && choice.instance.instanceId))).toEqual(
      new Set(['w0']),
    );
    tracker.recordRefusedConnection('w0', 0);
    expect(selector.choose(query, 0).kind).toBe('none');
  });

  test('opens no more than its share of the connections of a target', () => {
    const selector = selectorOf(fleetOf(1, 8), new DrainingTargetTracker(), 4);
    selector.recordAttemptStart('w0', 0);
    selector.recordAttemptStart('w0', 0);
    expect(selector.choose(query, 0).kind).toBe('busy');
    selector.recordAttemptEnd('w0');
    expect(selector.choose(query, 0).kind).toBe('target');
  });

  test('probes a target on probation with one idempotent request at a time', () => {
    const fleet = fleetOf(3);
    const selector = selectorOf(fleet);
    const failing = fleet.instances.get('w0');
    if (!failing) throw new Error('w0 is missing');
    for (let index = 0; index < 8; index += 1) selector.recordResult(failing, false, 0);
    const idsAt = (isIdempotent: boolean): ReadonlySet<unknown> =>
      new Set(
        Array.from({ length: 30 }, () => {
          const choice = selector.choose({ ...query, isIdempotent }, 6_000);
          return choice.kind === 'target' ? choice.instance.instanceId : choice.kind;
        }),
      );
    expect(idsAt(false).has('w0')).toBe(false);
    expect(idsAt(true)).toEqual(new Set(['w0']));
    selector.recordAttemptStart('w0', 6_000);
    expect(idsAt(true).has('w0')).toBe(false);
  });

  test('picks the less loaded of two candidates, on a tie the one in the same availability zone', () => {
    const sameZone = { instanceId: 'near', availabilityZone: 'zone-1', load: 0.5 };
    const otherZone = { instanceId: 'far', availabilityZone: 'zone-2', load: 0.5 };
    fc.assert(
      fc.property(fc.double({ min: 0, max: 0.999, noNaN: true }), (value) => {
        expect(pickTarget([sameZone, otherZone], 'zone-1', () => value)).toBe(sameZone);
        const lessLoaded = { ...otherZone, load: 0.25 };
        expect(pickTarget([sameZone, lessLoaded], 'zone-1', () => value)).toBe(lessLoaded);
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
  ])('are not made because of: %s', (reason, change) => {
    expect(decideRetry(input).kind).toBe('retry');
    expect(decideRetry({ ...input, ...change })).toEqual({ kind: 'stop', reason });
  });

  test('are made for an idempotent request that may have run', () => {
    const change = { outcome: 'may_have_run', reason: 'reset', isIdempotent: true } as const;
    expect(decideRetry({ ...input, ...change }).kind).toBe('retry');
  });

  test('stay within a tenth of the requests plus the initial credit', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (retryFlags) => {
        const budget = new RetryBudget();
        let retries = 0;
        for (const needsRetry of retryFlags) {
          budget.recordRequest();
          while (needsRetry && budget.isAvailable()) {
            budget.spend();
            retries += 1;
          }
        }
        expect(retries).toBeLessThanOrEqual(10 + retryFlags.length / 10);
      }),
      { seed: 20_261_204 },
    );
  });
});
