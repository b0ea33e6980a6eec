/** Settles the outcome of a transaction on the head whose response was lost. */
import type { Clock } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import { HEAD_KEY, headSchema, INITIAL_HEAD } from './head';

/** Delay between attempts, in milliseconds; doubles from the first to the maximum. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;

/**
 * Resolves once a transaction that was conditional on `baseVersion` of the
 * head either has been applied or can no longer be. The request may still be
 * on its way to the table, so the head is rewritten unchanged: its new version
 * makes the condition of the pending transaction fail. Retries until the table
 * responds.
 */
export async function settleHeadTransaction(
  table: TableService,
  clock: Clock,
  baseVersion: number | null,
): Promise<void> {
  for (let delayMs = FIRST_RETRY_MS; ; delayMs = Math.min(MAX_RETRY_MS, delayMs * 2)) {
    try {
      if (await trySettle(table, baseVersion)) return;
    } catch {
      // The table is unavailable; the transaction may still be applied when it is available again.
    }
    await clock.delay(delayMs);
  }
}

async function trySettle(table: TableService, baseVersion: number | null): Promise<boolean> {
  const [row] = await table.read({ keys: [HEAD_KEY] });
  if ((row?.version ?? null) !== baseVersion) return true;
  const value = row ? headSchema.parse(row.value) : INITIAL_HEAD;
  // Whether this commits or conflicts, the version of the head is no longer `baseVersion`.
  await table.transact({
    conditions: [{ key: HEAD_KEY, version: baseVersion }],
    writes: [{ key: HEAD_KEY, value }],
  });
  return true;
}
