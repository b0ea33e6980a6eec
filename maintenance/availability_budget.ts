/**
 * Availability budget of a pool: which instances are unavailable, and whether
 * another one may be taken out of service.
 */
import { z } from 'zod';
import type { FleetConfiguration, InstanceState } from '../model/fleet';
import { isListedLive, isRecent, type PlatformView } from './platform_view';

/**
 * Time, in milliseconds, for which an instance with an unchanged boot id must be
 * listed live without interruption before it counts as recovered. Such an instance
 * did not reboot; the list or its network had a fault, which may soon recur.
 */
export const SAME_BOOT_RECOVERY_MS = 30_000;

/** An instance that counts as unavailable until it has been seen serving again. */
export const unavailableInstanceSchema = z.object({
  instanceId: z.string(),
  cause: z.enum(['wave', 'move', 'unplanned']),
  /** Last boot id that was listed before the instance became unavailable, `null` if there was none. */
  bootId: z.string().nullable(),
  /** Wave for which the instance is rebooted. */
  waveId: z.string().nullable(),
  /** Id under which the platform reboots the instance at most once. */
  operationId: z.string().nullable(),
  /** First configuration revision with which no new work is started on the instance; `null` if unplanned. */
  revision: z.int().nullable(),
});

/** Value of the row `availability/<poolId>`. */
export const availabilitySchema = z.object({ entries: z.array(unavailableInstanceSchema).readonly() });

export type UnavailableInstance = Readonly<z.infer<typeof unavailableInstanceSchema>>;

/** The recorded unavailable instances of a pool by instance id. */
export type UnavailableInstances = ReadonlyMap<string, UnavailableInstance>;

export type UnavailabilityKind = 'planned' | 'unplanned';

/** Input of the decisions on the availability of a pool. */
export interface AvailabilityInput {
  readonly poolId: string;
  readonly fleet: Pick<FleetConfiguration, 'pools' | 'instanceStates'>;
  readonly entries: UnavailableInstances;
  readonly view: PlatformView | null;
  /** Time on the local monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/** Key of the row with the unavailable instances of a pool. */
export function availabilityKey(poolId: string): string {
  return `availability/${poolId}`;
}

/** States of the instances that are in the pool. */
export function statesOfPool(input: Pick<AvailabilityInput, 'poolId' | 'fleet'>): readonly InstanceState[] {
  return [...input.fleet.instanceStates.values()].filter(({ poolId }) => poolId === input.poolId);
}

/**
 * Unavailable instances of the pool by id: those that do not serve, and those
 * that have not been seen serving again since they became unavailable.
 *
 * @example
 * ```ts
 * const unavailable = unavailabilityOf({ poolId: 'quotes', fleet, entries, view, nowMs });
 * unavailable.get('worker-3'); // 'unplanned'
 * ```
 */
export function unavailabilityOf(input: AvailabilityInput): ReadonlyMap<string, UnavailabilityKind> {
  return new Map(
    statesOfPool(input).flatMap((state): readonly (readonly [string, UnavailabilityKind])[] => {
      const kind = unavailabilityKind(input, state);
      return kind === null ? [] : [[state.instanceId, kind]];
    }),
  );
}

function unavailabilityKind(input: AvailabilityInput, state: InstanceState): UnavailabilityKind | null {
  const entry = input.entries.get(state.instanceId);
  if (entry) return entry.cause === 'unplanned' ? 'unplanned' : 'planned';
  if (state.state === 'lost') return 'unplanned';
  if (state.state !== 'serving') return 'planned';
  return input.view === null || isListedLive(input.view, state.instanceId) ? null : 'unplanned';
}

/**
 * Whether a serving instance may be taken out of service now: the platform's
 * list is recent, and the unavailable instances including this one stay within
 * the budget of the pool.
 */
export function mayTakeOutOfService(input: AvailabilityInput, instanceId: string): boolean {
  if (input.view === null || !isRecent(input.view, input.nowMs)) return false;
  const budget = input.fleet.pools.get(input.poolId)?.maxUnavailable ?? 0;
  return new Set([...unavailabilityOf(input).keys(), instanceId]).size <= budget;
}

/**
 * Updates the entries from the platform's list: adds instances that have become
 * unavailable unplanned and removes those that have recovered. Entries with a
 * planned cause are removed by the change that returns the instance to service.
 */
export function updateEntries(input: AvailabilityInput): UnavailableInstances {
  const { view } = input;
  const states = new Map(statesOfPool(input).map((state) => [state.instanceId, state]));
  const entriesInPool = [...input.entries.values()].filter((entry) => states.has(entry.instanceId));
  if (view === null || !isRecent(view, input.nowMs)) return indexByInstance(entriesInPool);
  const remaining = entriesInPool.filter(
    (entry) => entry.cause !== 'unplanned' || !hasRecovered(view, entry),
  );
  const known = new Set(remaining.map(({ instanceId }) => instanceId));
  const newlyLost = [...states.values()].filter(
    ({ instanceId, state }) =>
      state === 'serving' && !known.has(instanceId) && !isListedLive(view, instanceId),
  );
  return indexByInstance([
    ...remaining,
    ...newlyLost.map(({ instanceId }) => unplannedEntry(view, instanceId)),
  ]);
}

/** Whether the instance is listed live with another boot id than before it became unavailable. */
export function hasRebooted(view: PlatformView, entry: UnavailableInstance): boolean {
  const listed = view.instances.get(entry.instanceId);
  return listed?.state === 'live' && entry.bootId !== null && listed.bootId !== entry.bootId;
}

function hasRecovered(view: PlatformView, entry: UnavailableInstance): boolean {
  if (hasRebooted(view, entry)) return true;
  const liveSinceMs = view.liveSinceMs.get(entry.instanceId);
  return liveSinceMs !== undefined && view.asOfMs - liveSinceMs >= SAME_BOOT_RECOVERY_MS;
}

function unplannedEntry(view: PlatformView, instanceId: string): UnavailableInstance {
  const bootId = view.lastBootIds.get(instanceId) ?? null;
  return { instanceId, cause: 'unplanned', bootId, waveId: null, operationId: null, revision: null };
}

/** Indexes entries by instance id. */
export function indexByInstance(entries: readonly UnavailableInstance[]): UnavailableInstances {
  return new Map(entries.map((entry) => [entry.instanceId, entry]));
}
