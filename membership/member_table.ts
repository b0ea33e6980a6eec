/**
 * Reads and writes member rows together with the head, which holds the current
 * configuration revision and membership epoch.
 */
import { HEAD_KEY, headSchema, INITIAL_HEAD, type Head } from '../config/head';
import { settleHeadTransaction } from '../config/head_transaction';
import type { Clock } from '../kernel/clock';
import { TableOutcomeUnknownError, type TableService } from '../platform/table_service';
import { MEMBER_PREFIX, memberKey, memberRowSchema, type MemberRow } from './member_row';

/** The member rows and the head, read together. */
export interface MembershipSnapshot {
  readonly head: Head;
  /** Version of the head row, `null` before the first write. */
  readonly headVersion: number | null;
  /** Rows by member id. */
  readonly rows: ReadonlyMap<string, MemberRow>;
  /** Versions of the member rows by key. */
  readonly versions: ReadonlyMap<string, number>;
}

/**
 * `unknown`: the response was lost, and it is not known whether the write was applied.
 * {@link MemberTable.commit} returns it only when the write can no longer be applied later.
 */
export type MemberWriteResult = 'committed' | 'conflict' | 'unknown';

/** The member rows in the table service. */
export class MemberTable {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Reads the membership. Throws `TableUnavailableError`. */
  async load(): Promise<MembershipSnapshot> {
    const tableRows = await this.table.read({ keys: [HEAD_KEY], prefixes: [MEMBER_PREFIX] });
    const headRow = tableRows.find(({ key }) => key === HEAD_KEY);
    const memberRows = tableRows.filter(({ key }) => key !== HEAD_KEY);
    const rows = memberRows.map(({ value }) => memberRowSchema.parse(value));
    return {
      head: headRow ? headSchema.parse(headRow.value) : INITIAL_HEAD,
      headVersion: headRow?.version ?? null,
      rows: new Map(rows.map((row) => [row.memberId, row])),
      versions: new Map(memberRows.map(({ key, version }) => [key, version])),
    };
  }

  /**
   * Writes rows and raises the membership epoch if neither the head nor these
   * rows have changed since `base`. Throws `TableUnavailableError` if the write
   * was not applied and is safe to retry.
   */
  async commit(base: MembershipSnapshot, rows: readonly MemberRow[]): Promise<MemberWriteResult> {
    const head: Head = { ...base.head, membershipEpoch: base.head.membershipEpoch + 1 };
    try {
      const result = await this.table.transact({
        conditions: [
          { key: HEAD_KEY, version: base.headVersion },
          ...rows.map((row) => unchangedCondition(base, row)),
        ],
        writes: [
          { key: HEAD_KEY, value: head },
          ...rows.map((row) => ({ key: memberKey(row.memberId), value: row })),
        ],
      });
      return result.kind;
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      await settleHeadTransaction(this.table, this.clock, base.headVersion);
      return 'unknown';
    }
  }

  /** Writes one row without raising the epoch, for changes that other members need not act on. */
  async updateRow(base: MembershipSnapshot, row: MemberRow): Promise<MemberWriteResult> {
    try {
      const result = await this.table.transact({
        conditions: [unchangedCondition(base, row)],
        writes: [{ key: memberKey(row.memberId), value: row }],
      });
      return result.kind;
    } catch (error) {
      if (error instanceof TableOutcomeUnknownError) return 'unknown';
      throw error;
    }
  }
}

function unchangedCondition(
  base: MembershipSnapshot,
  row: MemberRow,
): { readonly key: string; readonly version: number | null } {
  const key = memberKey(row.memberId);
  return { key, version: base.versions.get(key) ?? null };
}
