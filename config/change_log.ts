/** Reads and extends the change log in the table service. */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { OBJECT_KINDS } from '../model/ticket';
import {
  TableOutcomeUnknownError,
  type Condition,
  type Row,
  type TableService,
  type Write,
} from '../platform/table_service';
import {
  applyChanges,
  changeKey,
  loadState,
  objectKey,
  type Change,
  type ConfigurationState,
  type ObjectRow,
} from './change';
import { HEAD_KEY, headSchema, INITIAL_HEAD, type Head } from './head';

/** Changes fetched together with the head; a reader further behind loads everything again. */
const CHANGES_PER_READ = 8;

/** Attempts to learn the fate of a commit whose answer was lost. */
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_DELAY_MS = 200;

const changeRowSchema = z.object({
  revision: z.int(),
  ticketNumber: z.int().nullable(),
  commitId: z.string(),
  objects: z.array(z.object({ kind: z.enum(OBJECT_KINDS), objectId: z.string(), value: z.unknown() })),
});

/** The configuration at one head. */
export interface ConfigurationSnapshot {
  readonly head: Head;
  /** Version of the head row, `null` before the first write. */
  readonly headVersion: number | null;
  readonly state: ConfigurationState;
  /** Start of the read on the local monotonic clock, in milliseconds. */
  readonly asOfMs: number;
}

/** Further rows that must hold, or are written, in the transaction of a change. */
export interface CommitExtras {
  readonly conditions?: readonly Condition[];
  readonly writes?: readonly Write[];
}

/** `conflict`: the head or an extra condition had changed; nothing was written. */
export type CommitResult = 'committed' | 'conflict';

/**
 * The log of configuration changes.
 *
 * @example
 * ```ts
 * const log = new ChangeLog(table, clock);
 * const snapshot = await log.load();
 * const result = await log.commit(snapshot, change);
 * ```
 */
export class ChangeLog {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
  ) {}

  /** Reads the whole configuration. Throws `TableUnavailableError`. */
  async load(): Promise<ConfigurationSnapshot> {
    const asOfMs = this.clock.monotonicMs();
    const rows = await this.table.read({ keys: [HEAD_KEY], prefixes: ['config/'] });
    const { head, headVersion } = findHead(rows);
    return { head, headVersion, state: loadState(head.revision, rows), asOfMs };
  }

  /** Reads what has changed since `known`. Throws `TableUnavailableError`. */
  async follow(known: ConfigurationSnapshot): Promise<ConfigurationSnapshot> {
    const asOfMs = this.clock.monotonicMs();
    const from = known.head.revision;
    const changeKeys = Array.from({ length: CHANGES_PER_READ }, (_, index) => changeKey(from + 1 + index));
    const rows = await this.table.read({ keys: [HEAD_KEY, ...changeKeys] });
    const { head, headVersion } = findHead(rows);
    if (head.revision < from || head.revision > from + CHANGES_PER_READ) return this.load();
    const state = applyChanges(known.state, parseChanges(rows));
    return { head, headVersion, state, asOfMs };
  }

  /**
   * Writes `change` as the next revision after `base`. A lost answer is read
   * back; throws `TableOutcomeUnknownError` if that fails as well, and
   * `TableUnavailableError` if surely nothing was written.
   */
  async commit(
    base: ConfigurationSnapshot,
    change: Change,
    extras: CommitExtras = {},
  ): Promise<CommitResult> {
    const commitId = randomUUID();
    const head: Head = { ...base.head, revision: change.revision };
    const objectWrites = change.objects.map((object): Write => {
      const row: ObjectRow = { ticketNumber: change.ticketNumber, value: object.value };
      return { key: objectKey(object.kind, object.objectId), value: row };
    });
    try {
      const result = await this.table.transact({
        conditions: [{ key: HEAD_KEY, version: base.headVersion }, ...(extras.conditions ?? [])],
        writes: [
          { key: HEAD_KEY, value: head },
          { key: changeKey(change.revision), value: { ...change, commitId } },
          ...objectWrites,
          ...(extras.writes ?? []),
        ],
      });
      return result.kind;
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      return await this.readBack(change.revision, commitId, base.head.revision);
    }
  }

  private async readBack(revision: number, commitId: string, baseRevision: number): Promise<CommitResult> {
    for (let attempt = 1; attempt <= READ_BACK_ATTEMPTS; attempt += 1) {
      await this.clock.delay(READ_BACK_DELAY_MS * attempt);
      try {
        const rows = await this.table.read({ keys: [HEAD_KEY, changeKey(revision)] });
        const row = rows.find(({ key }) => key === changeKey(revision));
        if (row) return changeRowSchema.parse(row.value).commitId === commitId ? 'committed' : 'conflict';
        if (findHead(rows).head.revision > baseRevision) return 'conflict';
      } catch {
        // The table is still away; the next attempt may reach it.
      }
    }
    // The request may still be on its way to the table, so "not written" cannot be concluded.
    throw new TableOutcomeUnknownError('The fate of the change could not be read back.');
  }
}

function findHead(rows: readonly Row[]): { readonly head: Head; readonly headVersion: number | null } {
  const row = rows.find(({ key }) => key === HEAD_KEY);
  return row
    ? { head: headSchema.parse(row.value), headVersion: row.version }
    : { head: INITIAL_HEAD, headVersion: null };
}

function parseChanges(rows: readonly Row[]): readonly Change[] {
  return rows
    .filter(({ key }) => key !== HEAD_KEY)
    .map(({ value }) => changeRowSchema.parse(value))
    .sort((a, b) => a.revision - b.revision);
}
