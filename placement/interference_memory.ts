/** Keeps the learned pairs of images in the store, so that the next leader knows them too. */
import {
  DISTURBING_RISE,
  type InterferenceModel,
  type InterferencePair,
} from '../interference/interference_model';
import type { Clock } from '../kernel/clock';
import type { RowStore } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import type { FencedWriter } from './fenced_writer';
import {
  decodeInterferencePairs,
  encodeInterferencePairs,
  INTERFERENCE_ADDRESS,
  MAX_IMAGE_LENGTH,
} from './interference_rows';

/** Shortest time between two writes of the row, in milliseconds. */
const WRITE_INTERVAL_MS = 2_000;

/** A change of a weighted rise below this is not stored; it is too small to change a decision. */
const MIN_CHANGE = DISTURBING_RISE / 10;

export interface InterferenceMemoryOptions {
  readonly store: RowStore;
  readonly clock: Clock;
  readonly writer: Pick<FencedWriter, 'stage'>;
  readonly model: InterferenceModel;
  readonly counters: Counters;
}

/**
 * Loads the pairs of earlier leaders and stores changes of them.
 *
 * @example
 * ```ts
 * await memory.load();
 * memory.update();
 * ```
 */
export class InterferenceMemory {
  private stored: ReadonlyMap<string, number> = new Map();
  private writtenAtMs = -Infinity;

  constructor(private readonly options: InterferenceMemoryOptions) {}

  /** Throws the errors of {@link RowStore.read}. */
  async load(): Promise<void> {
    const { store, model, clock, counters } = this.options;
    const row = await store.readOne(INTERFERENCE_ADDRESS);
    if (row === null) return;
    const pairs = decodeInterferencePairs(row.value);
    if (pairs === null) {
      counters.increment('interference.row_unusable');
      return;
    }
    this.stored = risesByPair(pairs);
    model.restore(pairs, clock.monotonicMs());
  }

  /** Stores the pairs if they have changed and the latest write is long enough ago. */
  update(): void {
    const { model, clock, writer } = this.options;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.writtenAtMs < WRITE_INTERVAL_MS) return;
    const pairs = model.pairs(nowMs).filter(isWorthStoring);
    const rises = risesByPair(pairs);
    if (!hasChanged(this.stored, rises)) return;
    this.stored = rises;
    this.writtenAtMs = nowMs;
    writer.stage({ ...INTERFERENCE_ADDRESS, value: encodeInterferencePairs(pairs) });
  }
}

function weightedRise({ risePerProcessor, confidence }: InterferencePair): number {
  return risePerProcessor * confidence;
}

function isWorthStoring(pair: InterferencePair): boolean {
  const { disturbing, disturbed } = pair;
  return (
    weightedRise(pair) >= MIN_CHANGE && Math.max(disturbing.length, disturbed.length) <= MAX_IMAGE_LENGTH
  );
}

function risesByPair(pairs: readonly InterferencePair[]): ReadonlyMap<string, number> {
  return new Map(
    pairs.map((pair) => [JSON.stringify([pair.disturbing, pair.disturbed]), weightedRise(pair)]),
  );
}

function hasChanged(before: ReadonlyMap<string, number>, after: ReadonlyMap<string, number>): boolean {
  if (before.size !== after.size) return true;
  return [...after].some(([key, rise]) => Math.abs(rise - (before.get(key) ?? Infinity)) > MIN_CHANGE);
}
