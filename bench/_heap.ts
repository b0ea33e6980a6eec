/** Measures heap memory with forced garbage collections. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Heap bytes that the value returned by `build` retains. */
export function retainedBytes(build: () => unknown): number {
  collectGarbage();
  const usedBefore = process.memoryUsage().heapUsed;
  const retained = build();
  collectGarbage();
  const usedAfter = process.memoryUsage().heapUsed;
  // Reading the value after the measurement keeps it from being collected earlier.
  if (retained === undefined) throw new Error('The function to measure returned no value.');
  return Math.max(0, usedAfter - usedBefore);
}
