/** Availability budget of a pool: which instances count as lost, and whether another one may be taken. */
import { z } from 'zod';
import type { FleetConfiguration, InstanceState } from '../model/fleet';
import { isListedLive, isRecent, type PlatformView } from './platform_view';

/**
 * Time for which an instance must be listed live without a break before it
 * counts as serving under its old boot id, in milliseconds. Such an instance
 * never rebooted: the list or its network was at fault, and it may flap.
 */
export const SAME_BOOT_SETTLE_MS = 30_000;

/** One instance that counts as lost until it has been seen serving again. */
export const unavailableInstanceSchema = z.object({
  instanceId: z.string(),
  cause: z.enum(['wave', 'move', 'unplanned']),
  /** Boot id last seen before the loss, `null` if none was. */
  bootId: z.string().nullable(),
  /** Wave for which the instance is rebooted. */
  waveId: z.string().nullable(),
  /** Id under which the platform reboots the instance at most once. */
  operationId: z.string().nullable(),
  /** Revision from which on nothing is routed to the instance. */
  revision: z.int().nullable(),
});

/** Value of the row `availability/<poolId>`. */
export const availabilitySchema = z.object({ entries: z.array(unavailableInstanceSchema).readonly() });

export type UnavailableInstance = Readonly<z.infer<typeof unavailableInstanceSchema>>;

/** Entries by instance id. */
export type UnavailableInstances = ReadonlyMap<string, UnavailableInstance>;

export type LossKind = 'planned' | 'unplanned';

/** What the decisions about availability are made from. */
export interface AvailabilityInput {
  readonly poolId: string;
  readonly fleet: Pick<FleetConfiguration, 'pools' | 'instanceStates'>;
  readonly entries: UnavailableInstances;
  readonly view: PlatformView | null;
  /** On the local monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/** Key of the availability row of a pool. */
export function availabilityKey(poolId: string): string {
  return `availability/${poolId}`;
}

/** States of the instances that are in the pool. */
export function statesOfPool(input: Pick<AvailabilityInput, 'poolId' | 'fleet'>): readonly InstanceState[] {
  return [...input.fleet.instanceStates.values()].filter(({ poolId }) => poolId === input.poolId);
}

/**
 * Instances of the pool that do not serve, or were not yet seen serving again
 * after a loss.
 *
 * @example
 * ```ts
 * const losses = lossesOf({ poolId: 'quotes', fleet, entries, view, nowMs });
 * losses.get('worker-3'); // 'unplanned'
 * ```
 */
export function lossesOf(input: AvailabilityInput): ReadonlyMap<string, LossKind> {
  return new Map(
    statesOfPool(input).flatMap((state): readonly (readonly [string, LossKind])[] => {
      const kind = lossOf(input, state);
      return kind === null ? [] : [[state.instanceId, kind]];
    }),
  );
}

function lossOf(input: AvailabilityInput, state: InstanceState): LossKind | null {
  const entry = input.entries.get(state.instanceId);
  if (entry) return entry.cause === 'unplanned' ? 'unplanned' : 'planned';
  if (state.state === 'lost') return 'unplanned';
  if (state.state !== 'serving') return 'planned';
  return input.view === null || isListedLive(input.view, state.instanceId) ? null : 'unplanned';
}

/**
 * Whether a serving instance may be taken out of service now: all losses
 * together with this one stay within the budget, by a list that is recent.
 */
export function mayTake(input: AvailabilityInput, instanceId: string): boolean {
  if (input.view === null || !isRecent(input.view, input.nowMs)) return false;
  const budget = input.fleet.pools.get(input.poolId)?.maxUnavailable ?? 0;
  return new Set([...lossesOf(input).keys(), instanceId]).size <= budget;
}

/**
 * The entries after a look at the platform's list: new unplanned losses are
 * added, instances that were seen serving again are dropped. Entries of
 * planned losses end with the change that returns the instance.
 */
export function settleEntries(input: AvailabilityInput): UnavailableInstances {
  const { view } = input;
  const states = new Map(statesOfPool(input).map((state) => [state.instanceId, state]));
  const kept = [...input.entries.values()].filter((entry) => states.has(entry.instanceId));
  if (view === null || !isRecent(view, input.nowMs)) return byInstance(kept);
  const open = kept.filter((entry) => entry.cause !== 'unplanned' || !isBack(view, entry));
  const known = new Set(open.map(({ instanceId }) => instanceId));
  const lost = [...states.values()].filter(
    ({ instanceId, state }) =>
      state === 'serving' && !known.has(instanceId) && !isListedLive(view, instanceId),
  );
  return byInstance([...open, ...lost.map(({ instanceId }) => unplannedLoss(view, instanceId))]);
}

/** Whether the instance is live under another boot id than before the loss. */
export function hasRebooted(view: PlatformView, entry: UnavailableInstance): boolean {
  const listed = view.instances.get(entry.instanceId);
  return listed?.state === 'live' && entry.bootId !== null && listed.bootId !== entry.bootId;
}

function isBack(view: PlatformView, entry: UnavailableInstance): boolean {
  if (hasRebooted(view, entry)) return true;
  const sinceMs = view.liveSinceMs.get(entry.instanceId);
  return sinceMs !== undefined && view.asOfMs - sinceMs >= SAME_BOOT_SETTLE_MS;
}

function unplannedLoss(view: PlatformView, instanceId: string): UnavailableInstance {
  const bootId = view.lastBootIds.get(instanceId) ?? null;
  return { instanceId, cause: 'unplanned', bootId, waveId: null, operationId: null, revision: null };
}

/** Indexes entries by instance id. */
export function byInstance(entries: readonly UnavailableInstance[]): UnavailableInstances {
  return new Map(entries.map((entry) => [entry.instanceId, entry]));
}
