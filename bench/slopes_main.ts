/** Measures how costs grow with the size of the fleet; the figures in docs/CAPACITY.md are derived from the output. */
import { parseArgs } from 'node:util';
import { ADMISSION_BENCHMARKS } from './_admission_scaling';
import { CONFIGURATION_BENCHMARKS } from './_configuration_scaling';
import type { ScalingResult } from './_scaling_benchmark';

const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } });

function render(result: ScalingResult): string {
  const points = result.points.map(({ size, cost }) => `${size}: ${cost.toFixed(1)}`).join(', ');
  const slope = `${result.slope.toPrecision(3)} ${result.unit} per ${result.per}, ${result.intercept.toPrecision(3)} at 0`;
  return `${result.name}\n  ${points}\n  ${slope}\n`;
}

const results = [...CONFIGURATION_BENCHMARKS, ...ADMISSION_BENCHMARKS].map((benchmark) => benchmark.run());
process.stdout.write(values.json ? `${JSON.stringify(results, null, 2)}\n` : results.map(render).join(''));
