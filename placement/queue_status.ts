/** Row with the number of pending jobs of a queue. */
import { z } from 'zod';
import { decodeJsonRow, PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

const queueStatusSchema = z.object({
  /** Accepted jobs of which no task has started. */
  pending: z.int().min(0),
});

export type QueueStatus = Readonly<z.infer<typeof queueStatusSchema>>;

export function queueStatusAddress(queueId: string): RowAddress {
  return { table: 'queues', partition: PLACEMENT_PARTITION, key: queueId };
}

export function encodeQueueStatus(status: QueueStatus): string {
  return JSON.stringify(status);
}

/** Throws `RowFormatError` if the row cannot be decoded. */
export function decodeQueueStatus(value: string): QueueStatus {
  return decodeJsonRow(queueStatusSchema, value);
}
