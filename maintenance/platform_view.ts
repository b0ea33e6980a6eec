/** What the platform's lagging list has shown so far. */
import type { InstanceListing, ListedInstance } from '../platform/instance_list';

/** Oldest list on which an instance may be drained or moved, its stated lag included, in milliseconds. */
export const LIST_MAX_AGE_MS = 5_000;

export interface PlatformView {
  /** The list shows the platform as it was at this local monotonic time or later. */
  readonly asOfMs: number;
  readonly instances: ReadonlyMap<string, ListedInstance>;
  /** Since when each live instance has been listed live under its boot id without a break. */
  readonly liveSinceMs: ReadonlyMap<string, number>;
  /** The boot id each instance was last listed live with, also of instances that are gone. */
  readonly lastBootIds: ReadonlyMap<string, string>;
}

/**
 * Takes in a listing; one that is not newer than what is known changes nothing.
 *
 * @example
 * ```ts
 * const startedMs = clock.monotonicMs();
 * view = observeListing(view, await instanceList.list(), startedMs);
 * ```
 */
export function observeListing(
  previous: PlatformView | null,
  listing: InstanceListing,
  startedMs: number,
): PlatformView {
  const asOfMs = startedMs - listing.lagMs;
  if (previous !== null && asOfMs <= previous.asOfMs) return previous;
  const live = listing.instances.filter(({ state }) => state === 'live');
  const since = (listed: ListedInstance): number => {
    const before = previous?.instances.get(listed.instanceId);
    const isSame = before?.state === 'live' && before.bootId === listed.bootId;
    return (isSame ? previous?.liveSinceMs.get(listed.instanceId) : undefined) ?? asOfMs;
  };
  return {
    asOfMs,
    instances: new Map(listing.instances.map((listed) => [listed.instanceId, listed])),
    liveSinceMs: new Map(live.map((listed) => [listed.instanceId, since(listed)])),
    lastBootIds: new Map([
      ...(previous?.lastBootIds ?? []),
      ...live.map(({ instanceId, bootId }) => [instanceId, bootId] as const),
    ]),
  };
}

/** Whether the view may back a decision to take an instance out of service. */
export function isRecent(view: PlatformView, nowMs: number): boolean {
  return nowMs - view.asOfMs <= LIST_MAX_AGE_MS;
}

export function isListedLive(view: PlatformView, instanceId: string): boolean {
  return view.instances.get(instanceId)?.state === 'live';
}
