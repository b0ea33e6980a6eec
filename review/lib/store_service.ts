/** Stand-in for the platform's store: tables of rows with conditional transactions and a feed of changes. */
import { MemoryRows } from '../../store/memory_row_store';
import type { RowWrite } from '../../store/row_store';
import { HttpService, pause, type Fields, type ServiceCall, type ServiceReply } from './http_service';
import { WIRE } from './wire_names';

/** Time that a transaction takes, in milliseconds (`tx-ms`). */
const TX_MS = 4;
/** Maximum size of a row's value, in bytes (`row-bytes`). */
const ROW_BYTES = 65_536;
const MAX_ENTRIES = 100;
const MAX_PAGE_ROWS = 500;

interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
}

/**
 * @example
 * ```ts
 * const store = new StoreService((line) => log.push(line));
 * await store.service.listen();
 * ```
 */
export class StoreService {
  readonly rows = new MemoryRows();
  readonly service = new HttpService((call) => this.answer(call));
  private waiters: (() => void)[] = [];

  constructor(private readonly record: (line: string) => void) {}

  /** Writes rows as the operator and the workers do. */
  write(...writes: readonly RowWrite[]): void {
    this.rows.apply({ conditions: [], writes });
    this.notify();
  }

  private notify(): void {
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private async answer(call: ServiceCall): Promise<ServiceReply> {
    if (call.path === WIRE.rowsTx) return this.transact(call.body);
    if (call.path === WIRE.rowsGet) return this.read(call.query);
    if (call.path === WIRE.rowsFeed) return this.feed(call.query);
    return { status: 404, body: {} };
  }

  private async transact(body: Fields): Promise<ServiceReply> {
    await pause(TX_MS);
    const conditions = rowsOf(body['expect-rev']);
    const sets = rowsOf(body['set-keys']);
    const removed = rowsOf(body.remove);
    const all = [...conditions, ...sets, ...removed];
    const tooLarge = sets.find(({ value }) => Buffer.byteLength(value, 'base64') > ROW_BYTES);
    if (tooLarge !== undefined) {
      const bytes = Buffer.byteLength(tooLarge.value, 'base64');
      this.record(`store refuses a transaction: ${tooLarge.table}/${tooLarge.key} has ${bytes} bytes`);
      return { status: 400, body: { error: 'A value is larger than row-bytes.' } };
    }
    const isAcross = new Set(all.map(({ part }) => part)).size > 1;
    if (all.length > MAX_ENTRIES || (isAcross && body.across !== true)) return { status: 400, body: {} };
    const result = this.rows.apply({
      conditions: conditions.map((row) => ({ ...addressOf(row), version: row.ver })),
      writes: [
        ...sets.map((row) => ({
          ...addressOf(row),
          value: Buffer.from(row.value, 'base64').toString('utf8'),
        })),
        ...removed.map((row) => ({ ...addressOf(row), value: null })),
      ],
    });
    if (result.kind === 'conflict') return { status: 412, body: { rows: result.rows.map(encodeRow) } };
    this.notify();
    return { status: 200, body: { ver: result.version, 'now-ms': result.storeMs } };
  }

  private read(query: URLSearchParams): ServiceReply {
    const from = query.get('from');
    const to = query.get('to');
    const { rows, version, storeMs } = this.rows.read({
      table: query.get('table') ?? '',
      partition: query.get('part') ?? '',
      ...(from === null ? {} : { from }),
      ...(to === null ? {} : { to }),
    });
    const page = rows.slice(0, Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS)));
    const body = {
      rows: page.map(encodeRow),
      'more-pages': rows.length > page.length,
      ver: version,
      'now-ms': storeMs,
    };
    return { status: 200, body };
  }

  private async feed(query: URLSearchParams): Promise<ServiceReply> {
    const deadlineAtMs = performance.now() + Number(query.get('wait-ms') ?? 0);
    for (;;) {
      const { changes, version } = this.rows.changes(query.get('table') ?? '', Number(query.get('after')));
      const leftMs = deadlineAtMs - performance.now();
      if (changes.length > 0 || leftMs <= 0) {
        const rows = changes.map((row) =>
          row.value === null
            ? { ...encodeAddress(row), tombstone: true }
            : encodeRow({ ...row, value: row.value }),
        );
        return { status: 200, body: { rows, ver: version, 'now-ms': performance.now() } };
      }
      await Promise.race([pause(leftMs), new Promise<void>((resolve) => this.waiters.push(resolve))]);
    }
  }
}

function rowsOf(value: unknown): readonly WireRow[] {
  return (value ?? []) as readonly WireRow[];
}

function addressOf({ table, part, key }: WireRow): {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
} {
  return { table, partition: part, key };
}

interface AddressedRow {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
  readonly version: number;
}

function encodeAddress({ table, partition, key, version }: AddressedRow): Fields {
  return { table, part: partition, key, ver: version };
}

function encodeRow(row: AddressedRow & { readonly value: string }): Fields {
  return { ...encodeAddress(row), value: Buffer.from(row.value, 'utf8').toString('base64') };
}
