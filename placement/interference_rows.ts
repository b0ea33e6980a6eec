/** The row in which the leader stores which images disturb which. */
import { z } from 'zod';
import { MAX_PAIRS, type InterferencePair } from '../interference/interference_model';
import { PLACEMENT_PARTITION } from '../scheduling/job_rows';
import type { RowAddress } from '../store/row_store';

export const INTERFERENCE_TABLE = 'interference';

export const INTERFERENCE_ADDRESS: RowAddress = {
  table: INTERFERENCE_TABLE,
  partition: PLACEMENT_PARTITION,
  key: 'pairs',
};

/** Longest image name that is stored, in characters; it bounds the row to 28 KB. */
export const MAX_IMAGE_LENGTH = 200;

/** Largest rise for a processor; a larger one would only come from a damaged row. */
const MAX_RISE = 1_000;

const imageSchema = z.string().max(MAX_IMAGE_LENGTH);

const pairSchema = z.object({
  disturbing: imageSchema,
  disturbed: imageSchema,
  risePerProcessor: z.number().min(0).max(MAX_RISE),
  confidence: z.number().min(0).max(1),
});

const pairsSchema = z.array(pairSchema).max(MAX_PAIRS).readonly();

export function encodeInterferencePairs(pairs: readonly InterferencePair[]): string {
  return JSON.stringify(pairs);
}

/** Returns `null` for a row that cannot be decoded; the leader then starts without it. */
export function decodeInterferencePairs(value: string): readonly InterferencePair[] | null {
  try {
    const parsed = pairsSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : null;
  } catch {
    return null;
  }
}
