/** The platform view: the latest instance listing and what earlier ones have shown. */
import type { InstanceListing, ListedInstance } from '../platform/instance_list';

/** Greatest age in milliseconds, stated lag included, of a list on which an instance may be drained or moved. */
export const LIST_MAX_AGE_MS = 5_000;

export interface PlatformView {
  /** Local monotonic time, in milliseconds; the list shows the state of the platform at that time or later. */
  readonly asOfMs: number;
  readonly instances: ReadonlyMap<string, ListedInstance>;
  /**
   * Local monotonic time, in milliseconds, since which each live instance has been
   * listed live without interruption and with the same boot id.
   */
  readonly liveSinceMs: ReadonlyMap<string, number>;
  /** Boot id with which each instance was last listed live, including instances that are no longer listed. */
  readonly lastBootIds: ReadonlyMap<string, string>;
}

/**
 * Returns the view after a listing whose read started at `startedAtMs`; a listing
 * that is not newer than the previous view is ignored.
 *
 * @example
 * ```ts
 * const startedAtMs = clock.monotonicMs();
 * view = observeListing(view, await instanceList.list(), startedAtMs);
 * ```
 */
export function observeListing(
  previous: PlatformView | null,
  listing: InstanceListing,
  startedAtMs: number,
): PlatformView {
  const asOfMs = startedAtMs - listing.lagMs;
  if (previous !== null && asOfMs <= previous.asOfMs) return previous;
  const live = listing.instances.filter(({ state }) => state === 'live');
  const liveSince = (listed: ListedInstance): number => {
    const previouslyListed = previous?.instances.get(listed.instanceId);
    const isSameBoot = previouslyListed?.state === 'live' && previouslyListed.bootId === listed.bootId;
    return (isSameBoot ? previous?.liveSinceMs.get(listed.instanceId) : undefined) ?? asOfMs;
  };
  return {
    asOfMs,
    instances: new Map(listing.instances.map((listed) => [listed.instanceId, listed])),
    liveSinceMs: new Map(live.map((listed) => [listed.instanceId, liveSince(listed)])),
    lastBootIds: new Map([
      ...(previous?.lastBootIds ?? []),
      ...live.map(({ instanceId, bootId }) => [instanceId, bootId] as const),
    ]),
  };
}

/** Whether the view is recent enough for a decision to take an instance out of service. */
export function isRecent(view: PlatformView, nowMs: number): boolean {
  return nowMs - view.asOfMs <= LIST_MAX_AGE_MS;
}

/** Whether the instance is on the list and live. */
export function isListedLive(view: PlatformView, instanceId: string): boolean {
  return view.instances.get(instanceId)?.state === 'live';
}
