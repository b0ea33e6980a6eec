/** Finds out what became of a transaction on the head whose answer was lost. */
import type { Clock } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import { HEAD_KEY, headSchema, INITIAL_HEAD } from './head';

/** Delay between attempts, in milliseconds; doubled from the first to the last. */
const FIRST_RETRY_MS = 100;
const LAST_RETRY_MS = 1_000;

/**
 * Resolves once a transaction that was conditional on `baseVersion` of the
 * head has either been applied or can no longer be. A request may still be on
 * its way to the table, so the head is rewritten unchanged: the new version
 * makes the condition of the lost transaction fail for good. Tries until the
 * table answers.
 */
export async function settleHead(
  table: TableService,
  clock: Clock,
  baseVersion: number | null,
): Promise<void> {
  for (let delayMs = FIRST_RETRY_MS; ; delayMs = Math.min(LAST_RETRY_MS, delayMs * 2)) {
    try {
      if (await isSettled(table, baseVersion)) return;
    } catch {
      // The table is away; the transaction may still be applied when it comes back.
    }
    await clock.delay(delayMs);
  }
}

async function isSettled(table: TableService, baseVersion: number | null): Promise<boolean> {
  const [row] = await table.read({ keys: [HEAD_KEY] });
  if ((row?.version ?? null) !== baseVersion) return true;
  const value = row ? headSchema.parse(row.value) : INITIAL_HEAD;
  // Both results move the head beyond `baseVersion`.
  await table.transact({
    conditions: [{ key: HEAD_KEY, version: baseVersion }],
    writes: [{ key: HEAD_KEY, value }],
  });
  return true;
}
