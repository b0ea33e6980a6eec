/** Guards against snapshots that lose rows, start work again, or are restored over newer rows. */
import { PlacementHarness, STEP } from '../placement/_placement_harness';
import { MemoryRows, MemoryRowStore } from '../store/memory_row_store';
import { SnapshotError } from '../store/store_snapshot';
import { loadSnapshot, saveSnapshot } from './snapshot_command';

const JOB = '00000000000000aa';

function inMemory(): {
  readonly texts: Map<string, string>;
  readFile(path: string): Promise<string>;
  writeFile(path: string, text: string): Promise<void>;
} {
  const texts = new Map<string, string>();
  return {
    texts,
    readFile: (path) => Promise.resolve(texts.get(path) ?? ''),
    writeFile: (path, text) => {
      texts.set(path, text);
      return Promise.resolve();
    },
  };
}

test('after a loss of the store, the processes continue from a snapshot without a second start', async () => {
  const harness = new PlacementHarness();
  const worker = await harness.addWorker('w1');
  const first = harness.process('a');
  void first.run();
  for (let number = 0; number < 120; number += 1)
    await harness.submit(number.toString(16).padStart(16, '0'), [STEP]);
  await harness.advance(500);
  const files = inMemory();
  const store = new MemoryRowStore(harness.rows, harness.clock);
  first.kill();
  await harness.advance(100);
  expect(await saveSnapshot(store, 'f', files)).toMatch(/rows saved/);
  const startsBefore = worker.starts.length;
  expect(startsBefore).toBeGreaterThan(0);

  const restored = new PlacementHarness();
  await loadSnapshot(new MemoryRowStore(restored.rows, restored.clock), 'f', files);
  await restored.register(worker.entry);
  restored.gateway.workers.set('w1', worker);
  await restored.advance(200);
  void restored.process('b').run();
  for (let round = 0; round < 200; round += 1) {
    await restored.advance(200);
    if (round > 20) worker.finishAll();
  }
  expect(worker.highestToken).toBe(2);
  expect(await restored.state('0'.repeat(16))).toBe('completed');
  expect(new Set(worker.starts)).toEqual(new Set(['0.0.0#1']));
  expect(worker.starts).toHaveLength(120);
});

test('a snapshot is refused while a process leads', async () => {
  const harness = new PlacementHarness();
  void harness.process('a').run();
  await harness.advance(500);
  const store = new MemoryRowStore(harness.rows, harness.clock);
  store.faults = { ...store.faults, responseDelayMs: 700 };
  const saved = expect(saveSnapshot(store, 'f', inMemory())).rejects.toThrow(SnapshotError);
  await harness.advance(5_000);
  await saved;
});

describe('a snapshot is refused', () => {
  const files = inMemory();
  const row = { table: 'lease', partition: 'placement', key: 'placement', value: '{"epoch":1,"later":true}' };

  beforeAll(async () => {
    const harness = new PlacementHarness();
    const store = new MemoryRowStore(harness.rows, harness.clock);
    await harness.writeRow(row);
    await harness.submit(JOB, [STEP]);
    await saveSnapshot(store, 'good', files);
    await expect(loadSnapshot(store, 'good', files)).rejects.toThrow(/not empty: table "lease"/);
  });

  test.each([
    ['truncated', (text: string) => text.slice(0, -20), /complete/],
    ['changed', (text: string) => text.replace('later', 'lader'), /checksum/],
    ['of a later version', (text: string) => text.replace('"version":1', '"version":2'), /version 2/],
    ['another file', () => '{"a":1}', /complete/],
    ['empty', () => '', /complete/],
  ])('if it is %s', async (_name, damage, message) => {
    files.texts.set('bad', damage(files.texts.get('good') ?? ''));
    const harness = new PlacementHarness();
    const store = new MemoryRowStore(new MemoryRows(), harness.clock);
    await expect(loadSnapshot(store, 'bad', files)).rejects.toThrow(message);
    expect((await store.read({ table: 'jobs', partition: '0' })).rows).toEqual([]);
  });

  test('but not for fields that this version does not know, which are kept', async () => {
    const harness = new PlacementHarness();
    const store = new MemoryRowStore(harness.rows, harness.clock);
    expect(await loadSnapshot(store, 'good', files)).toMatch(/^2 rows restored/);
    expect((await store.readOne(row))?.value).toBe(row.value);
  });
});
