/** Heap in use, after a garbage collection. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes that the values built by `build` keep in use. */
export function retainedBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Reading the value after the measurement keeps it from being collected before.
  if (kept === undefined) throw new Error('There was nothing to measure.');
  return Math.max(0, after - before);
}
