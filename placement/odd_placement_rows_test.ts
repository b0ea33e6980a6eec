/** Guards against rows of another writer that are read as impossible sizes, times or counts, or throw another error. */
import fc from 'fast-check';
import { RowFormatError } from '../scheduling/job_rows';
import { decodeBurstMemory } from './burst_memory_rows';
import { decodeQueueStatus } from './queue_status';
import { decodeWaveProgress } from './wave_rows';

const SEED = 20261205;
const RUNS = 2_000;
const MAX_INSTANCES = 1_000_000;

const literals = fc.oneof(
  fc.constantFrom('1e400', '1e308', '-1', '0.5', '9007199254740993', '9007199254740991', 'null', '"7"', '7'),
  fc.integer({ min: 1, max: 5_000 }).map((depth) => '['.repeat(depth) + ']'.repeat(depth)),
  fc.json({ maxDepth: 2 }),
);

function objectsWith(names: readonly string[]): fc.Arbitrary<string> {
  const fields = fc.tuple(...names.map(() => literals));
  const texts = fields.map(
    (values) => `{${names.map((name, index) => `"${name}":${values[index] ?? 'null'}`).join(',')}}`,
  );
  return fc.oneof(texts, fc.string());
}

function decodeOrNull<T>(decode: () => T): T | null {
  try {
    return decode();
  } catch (error) {
    if (!(error instanceof RowFormatError)) throw error;
    return null;
  }
}

function check(texts: fc.Arbitrary<string>, expectPossible: (text: string) => void): void {
  fc.assert(fc.property(texts, expectPossible), { seed: SEED, numRuns: RUNS });
}

test('the memory of bursts contains possible sizes or is left out', () => {
  const heights = fc.array(literals, { maxLength: 3 }).map((values) => `[${values.join(',')}]`);
  const memories = fc
    .tuple(literals, heights)
    .map(([size, list]) => `{"provisionedInstances":${size},"heights":${list}}`);
  check(memories, (text) => {
    const memory = decodeBurstMemory(text);
    if (memory === null) return;
    for (const size of [memory.provisionedInstances, ...memory.heights]) {
      expect(size).toBeGreaterThanOrEqual(0);
      expect(size).toBeLessThanOrEqual(MAX_INSTANCES);
    }
  });
});

test('the progress of a wave has a possible time or is unusable', () => {
  const progress = literals.map((time) => `{"begun":[],"isCompleted":false,"orderedAtMs":${time}}`);
  check(progress, (text) => {
    const time = decodeOrNull(() => decodeWaveProgress(text))?.orderedAtMs ?? 0;
    expect(time >= 0 && Number.isSafeInteger(Math.floor(time))).toBe(true);
  });
});

test('the number of pending jobs is a count or unusable', () => {
  check(objectsWith(['pending']), (text) => {
    const pending = decodeOrNull(() => decodeQueueStatus(text))?.pending ?? 0;
    expect(Number.isSafeInteger(pending) && pending >= 0).toBe(true);
  });
});
