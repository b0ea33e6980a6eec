/** Copies rows out of a store into a text, and back into an empty store. */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import { MAX_TRANSACTION_ROWS, type RowAddress, type RowStore, type RowWrite } from './row_store';

const FORMAT = 'endivestand-snapshot';
/** Version of the file's format. Files of later versions are refused; unknown fields are not. */
const FORMAT_VERSION = 1;

/** A condition and a write for each row. */
const ROWS_PER_TRANSACTION = MAX_TRANSACTION_ROWS / 2;
/** The store accepts 1 MB and encodes 3 bytes as 4. */
const BYTES_PER_TRANSACTION = 600_000;

const rowSchema = z.object({
  table: z.string(),
  partition: z.string(),
  key: z.string(),
  value: z.string(),
});

const fileSchema = z.object({
  format: z.literal(FORMAT),
  version: z.int().min(1),
  checksum: z.string(),
  rows: z.array(rowSchema).readonly(),
});

/** Some rows of a table. */
export type TablePartition = Omit<RowAddress, 'key'>;

export type SnapshotRow = Readonly<z.infer<typeof rowSchema>>;

/** The snapshot cannot be taken or restored; the message is a sentence for the operator. */
export class SnapshotError extends Error {
  override readonly name = 'SnapshotError';
}

/**
 * Reads all rows of the partitions. Throws {@link SnapshotError} if `witness`, a row that
 * changes with every decision, changes meanwhile: the rows would be of different moments.
 *
 * @example
 * ```ts
 * const text = encodeSnapshot(await takeSnapshot(store, partitions, LEASE_ADDRESS));
 * ```
 */
export async function takeSnapshot(
  store: RowStore,
  partitions: readonly TablePartition[],
  witness: RowAddress,
): Promise<readonly SnapshotRow[]> {
  const before = await store.readOne(witness);
  const snapshots = await Promise.all(partitions.map((partition) => store.read(partition)));
  const after = await store.readOne(witness);
  if (before?.version !== after?.version)
    throw new SnapshotError('A process is leading; stop all processes before taking a snapshot.');
  return snapshots.flatMap(({ rows }) =>
    rows.map(({ table, partition, key, value }) => ({ table, partition, key, value })),
  );
}

/**
 * Encodes rows as the text of a file.
 *
 * @example
 * ```ts
 * await writeFile(path, encodeSnapshot(rows));
 * ```
 */
export function encodeSnapshot(rows: readonly SnapshotRow[]): string {
  return `${JSON.stringify({ format: FORMAT, version: FORMAT_VERSION, checksum: checksumOf(rows), rows })}\n`;
}

/**
 * Throws {@link SnapshotError} for a file that is damaged, of a later version, or no snapshot.
 *
 * @example
 * ```ts
 * const rows = decodeSnapshot(await readFile(path, 'utf8'));
 * ```
 */
export function decodeSnapshot(text: string): readonly SnapshotRow[] {
  const { version, checksum, rows } = parseFile(text);
  if (version > FORMAT_VERSION)
    throw new SnapshotError(
      `The snapshot has version ${version}; this program reads versions up to ${FORMAT_VERSION}.`,
    );
  if (checksum !== checksumOf(rows))
    throw new SnapshotError('The snapshot is damaged: its checksum does not match its rows.');
  return rows;
}

/**
 * Writes the rows into a store whose partitions are empty; `last` is written after all
 * others. Returns the number of rows. Throws {@link SnapshotError} if a row exists already.
 *
 * @example
 * ```ts
 * await restoreSnapshot(store, rows, { partitions, last: LEASE_ADDRESS });
 * ```
 */
export async function restoreSnapshot(
  store: RowStore,
  rows: readonly SnapshotRow[],
  { partitions, last }: { readonly partitions: readonly TablePartition[]; readonly last: RowAddress },
): Promise<number> {
  for (const partition of partitions) {
    const { rows: existing } = await store.read(partition);
    if (existing.length > 0)
      throw new SnapshotError(
        `The store is not empty: table "${partition.table}" has ${existing.length} rows. Nothing was written.`,
      );
  }
  const isLast = ({ table, partition, key }: SnapshotRow): boolean =>
    table === last.table && partition === last.partition && key === last.key;
  const others = rows.filter((row) => !isLast(row));
  for (const batch of [...batchesOf(others), rows.filter(isLast)]) await writeBatch(store, batch);
  return rows.length;
}

async function writeBatch(store: RowStore, batch: readonly RowWrite[]): Promise<void> {
  if (batch.length === 0) return;
  const conditions = batch.map(({ table, partition, key }) => ({ table, partition, key, version: 0 }));
  const result = await store.transact({ conditions, writes: batch });
  if (result.kind === 'conflict')
    throw new SnapshotError(
      'Another process has written to the store; stop all processes, empty the store and restore again.',
    );
}

/** Batches of rows of one partition each, since transactions over several take longer. */
function batchesOf(rows: readonly SnapshotRow[]): readonly (readonly SnapshotRow[])[] {
  const batches: SnapshotRow[][] = [];
  let bytes = 0;
  for (const row of rows) {
    const current = batches.at(-1);
    bytes += row.value.length;
    const isFull = current === undefined || current.length >= ROWS_PER_TRANSACTION;
    if (isFull || current[0]?.partition !== row.partition || bytes > BYTES_PER_TRANSACTION) {
      batches.push([row]);
      bytes = row.value.length;
    } else current.push(row);
  }
  return batches;
}

function parseFile(text: string): z.infer<typeof fileSchema> {
  try {
    const parsed = fileSchema.safeParse(JSON.parse(text));
    if (parsed.success) return parsed.data;
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
  }
  throw new SnapshotError('The file is not a complete snapshot.');
}

function checksumOf(rows: readonly SnapshotRow[]): string {
  const hash = createHash('sha256');
  for (const { table, partition, key, value } of rows)
    hash.update(JSON.stringify([table, partition, key, value]));
  return hash.digest('hex');
}
