/** Measures how costs grow with the size of the fleet; docs/CAPACITY.md is worked out from the result. */
import { parseArgs } from 'node:util';
import { ADMISSION_SLOPES } from './_admission_slopes';
import { CONFIGURATION_SLOPES } from './_configuration_slopes';
import type { SlopeResult } from './_slope';

const { values } = parseArgs({ options: { json: { type: 'boolean', default: false } } });

function describe(result: SlopeResult): string {
  const points = result.points.map(({ size, cost }) => `${size}: ${cost.toFixed(1)}`).join(', ');
  const slope = `${result.slope.toPrecision(3)} ${result.unit} per ${result.per}, ${result.intercept.toPrecision(3)} at 0`;
  return `${result.name}\n  ${points}\n  ${slope}\n`;
}

const results = [...CONFIGURATION_SLOPES, ...ADMISSION_SLOPES].map((slope) => slope.run());
process.stdout.write(values.json ? `${JSON.stringify(results, null, 2)}\n` : results.map(describe).join(''));
