/** Guards against exceeding the availability budget and against counting instances as recovered too early. */
import { instanceStateSchema, poolSchema } from '../model/fleet';
import {
  indexByInstance,
  unavailabilityOf,
  mayTakeOutOfService,
  SAME_BOOT_RECOVERY_MS,
  updateEntries,
} from './availability_budget';
import type { AvailabilityInput, UnavailableInstance } from './availability_budget';
import { LIST_MAX_AGE_MS, observeListing, type PlatformView } from './platform_view';

const IDS = ['i1', 'i2', 'i3'];

function listing(
  bootIds: Readonly<Record<string, string>>,
  atMs: number,
  previous: PlatformView | null = null,
) {
  const instances = Object.entries(bootIds).map(([instanceId, bootId]) => ({
    instanceId,
    bootId,
    state: 'live' as const,
  }));
  return observeListing(previous, { lagMs: 0, instances }, atMs);
}

function input(
  view: PlatformView,
  nowMs: number,
  entries: readonly UnavailableInstance[] = [],
): AvailabilityInput {
  const states = IDS.map((instanceId) =>
    instanceStateSchema.parse({ instanceId, poolId: 'a', state: 'serving', epoch: 0 }),
  );
  return {
    poolId: 'a',
    fleet: {
      pools: new Map([['a', poolSchema.parse({ poolId: 'a', maxUnavailable: 1 })]]),
      instanceStates: new Map(states.map((state) => [state.instanceId, state])),
    },
    entries: indexByInstance(entries),
    view,
    nowMs,
  };
}

describe('availability budget', () => {
  const all = { i1: 'b1', i2: 'b1', i3: 'b1' };
  const withoutI3 = listing({ i1: 'b1', i2: 'b1' }, 1_000, listing(all, 0));

  test('instances that are missing from the list use up the budget', () => {
    expect(mayTakeOutOfService(input(listing(all, 0), 0), 'i1')).toBe(true);
    expect(mayTakeOutOfService(input(withoutI3, 1_000), 'i1')).toBe(false);
    expect([...unavailabilityOf(input(withoutI3, 1_000))]).toEqual([['i3', 'unplanned']]);
  });

  test('no instance may be taken out of service on a list that is too old, its stated lag included', () => {
    const lagging = observeListing(
      null,
      { lagMs: 2_000, instances: [...listing(all, 0).instances.values()] },
      10_000,
    );
    expect(mayTakeOutOfService(input(lagging, 8_000 + LIST_MAX_AGE_MS), 'i1')).toBe(true);
    expect(mayTakeOutOfService(input(lagging, 8_001 + LIST_MAX_AGE_MS), 'i1')).toBe(false);
  });

  test('an instance stays unavailable until it is listed with a new boot id or long enough with the old one', () => {
    const entries = [...updateEntries(input(withoutI3, 1_000)).values()];
    expect(entries).toEqual([
      expect.objectContaining({ instanceId: 'i3', bootId: 'b1', cause: 'unplanned' }),
    ]);
    const flapping = listing(all, 2_000, withoutI3);
    expect(updateEntries(input(flapping, 2_000, entries)).size).toBe(1);
    const rebooted = listing({ ...all, i3: 'b2' }, 2_000, withoutI3);
    expect(updateEntries(input(rebooted, 2_000, entries)).size).toBe(0);
    const recoveredAtMs = 2_000 + SAME_BOOT_RECOVERY_MS;
    const recovered = listing(all, recoveredAtMs, flapping);
    expect(updateEntries(input(recovered, recoveredAtMs, entries)).size).toBe(0);
  });

  test('an older list that arrives late does not replace a newer one', () => {
    expect(listing(all, 500, withoutI3)).toBe(withoutI3);
  });
});
