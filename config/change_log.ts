/** Reads and appends to the change log in the table service. */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Clock } from '../kernel/clock';
import { OBJECT_KINDS } from '../model/ticket';
import {
  TableOutcomeUnknownError,
  TableUnavailableError,
  type Condition,
  type Row,
  type TableService,
  type Transaction,
  type Write,
} from '../platform/table_service';
import {
  applyChange,
  applyChanges,
  changeKey,
  loadState,
  objectKey,
  type Change,
  type ConfigurationState,
  type ObjectRow,
} from './change';
import { HEAD_KEY, headSchema, INITIAL_HEAD, type Head } from './head';
import { settleHeadTransaction } from './head_transaction';

/**
 * Number of changes that are read together with the head. A reader that is further
 * behind loads the whole configuration.
 */
const CHANGES_PER_READ = 8;

/** Longest time, in milliseconds, for which a caller waits for the outcome of a commit whose response was lost. */
const OUTCOME_WAIT_MS = 3_000;
const OUTCOME_RETRY_MS = 200;

const changeRowSchema = z.object({
  revision: z.int(),
  ticketNumber: z.int().nullable(),
  commitId: z.string(),
  objects: z.array(z.object({ kind: z.enum(OBJECT_KINDS), objectId: z.string(), value: z.unknown() })),
});

/** The configuration at one head. */
export interface ConfigurationSnapshot {
  readonly head: Head;
  /** Version of the head row; `null` before the first write and after a commit whose response was lost. */
  readonly headVersion: number | null;
  readonly state: ConfigurationState;
  /** Local monotonic time, in milliseconds, at which the read or the commit started. */
  readonly asOfMs: number;
}

/** Additional conditions and writes for the transaction of a change. */
export interface CommitExtras {
  readonly conditions?: readonly Condition[];
  readonly writes?: readonly Write[];
}

/** `conflict`: the head or a row of an additional condition had changed; nothing was written. */
export type CommitResult = 'committed' | 'conflict';

/** The outcome of a commit, with the resulting configuration if it was applied. */
export type CommitOutcome =
  { readonly kind: 'committed'; readonly snapshot: ConfigurationSnapshot } | { readonly kind: 'conflict' };

/** It is not known yet whether a commit was applied; `outcome` resolves when it is. */
export class CommitOutcomeUnknownError extends TableOutcomeUnknownError {
  constructor(readonly outcome: Promise<CommitOutcome>) {
    super('Could not determine in time whether the change was committed.');
  }
}

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

  /**
   * Reads the changes since `known`. Unless `expectsChange` is set, reads only the
   * head at first, which keeps the regular poll small. Throws `TableUnavailableError`.
   */
  async loadSince(known: ConfigurationSnapshot, expectsChange: boolean): Promise<ConfigurationSnapshot> {
    const asOfMs = this.clock.monotonicMs();
    if (!expectsChange) {
      const current = findHead(await this.table.read({ keys: [HEAD_KEY] }));
      if (current.head.revision === known.head.revision) return { ...known, ...current, asOfMs };
    }
    return this.readChanges(known);
  }

  private async readChanges(known: ConfigurationSnapshot): Promise<ConfigurationSnapshot> {
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
   * Writes `change` as the next revision after `base`. If the response is lost,
   * the outcome is read back from the table. Throws `CommitOutcomeUnknownError`
   * if that takes too long, and `TableUnavailableError` if the change was not
   * applied and the call is safe to retry.
   */
  async commit(
    base: ConfigurationSnapshot,
    change: Change,
    extras: CommitExtras = {},
  ): Promise<CommitOutcome> {
    const commitId = randomUUID();
    const head: Head = { ...base.head, revision: change.revision };
    const asOfMs = this.clock.monotonicMs();
    const committed = (headVersion: number | null): CommitOutcome => {
      const state = applyChange(base.state, change);
      return { kind: 'committed', snapshot: { head, headVersion, state, asOfMs } };
    };
    try {
      const transaction = buildTransaction({ base, head, change, commitId, extras });
      const result = await this.table.transact(transaction);
      return result.kind === 'committed' ? committed(result.versions.get(HEAD_KEY) ?? null) : result;
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
      const outcome = this.resolveOutcome(base.headVersion, change.revision, commitId).then((isCommitted) =>
        isCommitted ? committed(null) : ({ kind: 'conflict' } as const),
      );
      const outcomeInTime = await Promise.race([outcome, this.clock.delay(OUTCOME_WAIT_MS)]);
      if (outcomeInTime !== undefined) return outcomeInTime;
      throw new CommitOutcomeUnknownError(outcome);
    }
  }

  /** Resolves with whether the commit was applied, once that can no longer change. */
  private async resolveOutcome(
    baseVersion: number | null,
    revision: number,
    commitId: string,
  ): Promise<boolean> {
    await settleHeadTransaction(this.table, this.clock, baseVersion);
    for (;;) {
      try {
        const [row] = await this.table.read({ keys: [changeKey(revision)] });
        return row !== undefined && changeRowSchema.parse(row.value).commitId === commitId;
      } catch (error) {
        if (!(error instanceof TableUnavailableError)) throw error;
        await this.clock.delay(OUTCOME_RETRY_MS);
      }
    }
  }
}

interface ChangeTransaction {
  readonly base: ConfigurationSnapshot;
  readonly head: Head;
  readonly change: Change;
  readonly commitId: string;
  readonly extras: CommitExtras;
}

function buildTransaction(parts: ChangeTransaction): Transaction {
  const { base, head, change, commitId, extras } = parts;
  const objectWrites = change.objects.map((object): Write => {
    const row: ObjectRow = { ticketNumber: change.ticketNumber, value: object.value };
    return { key: objectKey(object.kind, object.objectId), value: row };
  });
  return {
    conditions: [{ key: HEAD_KEY, version: base.headVersion }, ...(extras.conditions ?? [])],
    writes: [
      { key: HEAD_KEY, value: head },
      { key: changeKey(change.revision), value: { ...change, commitId } },
      ...objectWrites,
      ...(extras.writes ?? []),
    ],
  };
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
