/** The availability zones that the operator has closed: no task starts on their workers. */
import type { Clock } from '../kernel/clock';

/** Why no task may be started on a worker of a zone; the operator's rows are `unknown` until they are read. */
export type ZoneRefusal = 'zone_closed' | 'zones_unknown';

export interface ZoneClosure {
  readonly zone: string;
  /** When this process learned of the row, on the monotonic clock. */
  readonly sinceMs: number;
  /** Version of the operator's row. */
  readonly rowVersion: number;
}

/** The closed zones at one moment. */
export interface ClosedZones {
  /** Whether the operator's rows are known; no task may be started anywhere while they are not. */
  readonly isKnown: boolean;
  /** Closed zones by name, as last read. */
  readonly closures: ReadonlyMap<string, ZoneClosure>;
}

export const NO_CLOSED_ZONES: ClosedZones = { isKnown: true, closures: new Map() };

export const UNKNOWN_CLOSED_ZONES: ClosedZones = { isKnown: false, closures: new Map() };

/**
 * Returns why no task may be started in a zone, or `null` if one may.
 *
 * @example
 * ```ts
 * if (zoneRefusal(closedZones(), entry.availabilityZone) !== null) return;
 * ```
 */
export function zoneRefusal({ isKnown, closures }: ClosedZones, zone: string): ZoneRefusal | null {
  if (!isKnown) return 'zones_unknown';
  return closures.has(zone) ? 'zone_closed' : null;
}

/** A row of the operator that closes a zone, or its removal. */
export interface ZoneRow {
  readonly zone: string;
  readonly rowVersion: number;
  readonly isClosed: boolean;
}

/** What a read of the operator's rows has changed. */
export interface ZoneChanges {
  readonly closed: readonly ZoneClosure[];
  readonly opened: readonly ZoneClosure[];
}

export interface CurrentClosedZonesOptions {
  readonly clock: Pick<Clock, 'monotonicMs'>;
  /**
   * Age of the latest successful call from which the rows count as unknown, in
   * milliseconds; `Infinity` where zones are not closed by rows.
   */
  readonly maxAgeMs: number;
}

/**
 * The closed zones that this process knows of.
 *
 * @example
 * ```ts
 * const zones = new CurrentClosedZones({ clock, maxAgeMs: 3_000 });
 * zones.apply([{ zone: 'a', rowVersion: 7, isClosed: true }], true);
 * zones.recordContact(callBeganAtMs);
 * zones.current().closures.has('a'); // true
 * ```
 */
export class CurrentClosedZones {
  /** Replaced as a whole, so that a planning pass allocates nothing. */
  private known: ClosedZones = UNKNOWN_CLOSED_ZONES;
  /** The same closures, for while they may have changed. */
  private outdated: ClosedZones = UNKNOWN_CLOSED_ZONES;
  private contactAtMs = -Infinity;
  private listeners: readonly (() => void)[] = [];

  constructor(private readonly options: CurrentClosedZonesOptions) {}

  /** The closed zones as last read; not known if the rows were not read or may have changed since. */
  current(): ClosedZones {
    const { clock, maxAgeMs } = this.options;
    return clock.monotonicMs() - this.contactAtMs <= maxAgeMs ? this.known : this.outdated;
  }

  /**
   * Records that a call for the operator's rows has succeeded. The rows are known as of
   * its beginning, since a response may have been on its way for as long as the call took.
   */
  recordContact(beganAtMs: number): void {
    this.contactAtMs = Math.max(this.contactAtMs, beganAtMs);
  }

  /** Applies rows in the order of their versions; in a complete read, zones that are not listed are open. */
  apply(rows: readonly ZoneRow[], isComplete: boolean): ZoneChanges {
    const { closures: before, isKnown } = this.known;
    const after = new Map(isComplete ? [] : before);
    for (const { zone, rowVersion, isClosed } of rows) {
      const known = before.get(zone);
      if (!isClosed) after.delete(zone);
      else if (known?.rowVersion === rowVersion) after.set(zone, known);
      else after.set(zone, { zone, rowVersion, sinceMs: this.options.clock.monotonicMs() });
    }
    const closed = [...after.values()].filter((closure) => before.get(closure.zone) !== closure);
    const opened = [...before.values()].filter(({ zone }) => !after.has(zone));
    const becomesKnown = isComplete && !isKnown;
    if (becomesKnown || closed.length + opened.length > 0) {
      this.known = { isKnown: isKnown || isComplete, closures: after };
      this.outdated = { isKnown: false, closures: after };
      for (const listener of this.listeners) listener();
    }
    return { closed, opened };
  }

  /** Calls the listener after each change. */
  onChange(listener: () => void): void {
    this.listeners = [...this.listeners, listener];
  }
}
