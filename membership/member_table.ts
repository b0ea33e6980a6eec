/** Reads and writes member rows together with the head. */
import { HEAD_KEY, headSchema, INITIAL_HEAD, type Head } from '../config/head';
import { settleHeadTransaction } from '../config/head_transaction';
import type { Clock } from '../kernel/clock';
import { TableOutcomeUnknownError, type TableService } from '../platform/table_service';
import { MEMBER_PREFIX, memberKey, memberRowSchema, type MemberRow } from './member_row';

/** The membership at one head. */
export interface MembershipSnapshot {
  readonly head: Head;
  readonly headVersion: number | null;
  readonly rows: ReadonlyMap<string, MemberRow>;
  readonly versions: ReadonlyMap<string, number>;
}

/** `unknown`: the answer was lost, and the write has by now either been applied or never will be. */
export type MemberWriteResult = 'committed' | 'conflict' | 'unknown';

/** The member rows in the table service. */
export class MemberTable {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Reads the membership. Throws `TableUnavailableError`. */
  async load(): Promise<MembershipSnapshot> {
    const found = await this.table.read({ keys: [HEAD_KEY], prefixes: [MEMBER_PREFIX] });
    const headRow = found.find(({ key }) => key === HEAD_KEY);
    const memberRows = found.filter(({ key }) => key !== HEAD_KEY);
    const rows = memberRows.map(({ value }) => memberRowSchema.parse(value));
    return {
      head: headRow ? headSchema.parse(headRow.value) : INITIAL_HEAD,
      headVersion: headRow?.version ?? null,
      rows: new Map(rows.map((row) => [row.memberId, row])),
      versions: new Map(memberRows.map(({ key, version }) => [key, version])),
    };
  }

  /**
   * Writes rows and raises the membership epoch, if nothing has changed since
   * `base`. Throws `TableUnavailableError` if surely nothing was written.
   */
  async change(base: MembershipSnapshot, rows: readonly MemberRow[]): Promise<MemberWriteResult> {
    const head: Head = { ...base.head, membershipEpoch: base.head.membershipEpoch + 1 };
    try {
      const result = await this.table.transact({
        conditions: [
          { key: HEAD_KEY, version: base.headVersion },
          ...rows.map((row) => unchanged(base, row)),
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

  /** Writes the own row without a new epoch, for changes that no other member has to act on. */
  async update(base: MembershipSnapshot, row: MemberRow): Promise<MemberWriteResult> {
    try {
      const result = await this.table.transact({
        conditions: [unchanged(base, row)],
        writes: [{ key: memberKey(row.memberId), value: row }],
      });
      return result.kind;
    } catch (error) {
      if (error instanceof TableOutcomeUnknownError) return 'unknown';
      throw error;
    }
  }
}

function unchanged(
  base: MembershipSnapshot,
  row: MemberRow,
): { readonly key: string; readonly version: number | null } {
  const key = memberKey(row.memberId);
  return { key, version: base.versions.get(key) ?? null };
}
