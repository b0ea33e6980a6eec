/** Tells accounts that stay over their shares from those that cross them now and then. */

/** Views that are looked at, 3 s together. */
const VIEWS = 4;

/** Number of these views in which an account must have been over its share. */
const MIN_VIEWS_OVER = 3;

/**
 * Remembers which accounts were over their shares. One that is close to its share changes
 * sides from one moment to the next, and a rejection for that would be wrong soon after.
 *
 * @example
 * ```ts
 * const lasting = history.record(new Set(['desk']));
 * ```
 */
export class OverShareHistory {
  private latest: readonly ReadonlySet<string>[] = [];

  /** Records the accounts of a view, and returns those that were over their shares in most of the latest views. */
  record(teamIds: ReadonlySet<string>): readonly string[] {
    this.latest = [...this.latest, teamIds].slice(-VIEWS);
    const known = new Set(this.latest.flatMap((view) => [...view]));
    return [...known].filter(
      (teamId) => this.latest.filter((view) => view.has(teamId)).length >= MIN_VIEWS_OVER,
    );
  }
}
