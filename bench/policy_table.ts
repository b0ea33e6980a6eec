/** Renders the results of one deployment as a table with one row per policy. */
import type { SimulationResult, WaitTimes } from './admission_simulation';

export interface PolicyRow {
  readonly policy: string;
  readonly figures: SimulationResult;
}

const COLUMNS = [
  'policy',
  'urgent wait p50/p99/max ms',
  'normal wait p99 ms',
  'batch wait p99 ms',
  'fair-share shortfall worst 60 s / mean',
  'slot utilization when full',
  'max over slots',
  'max over limit',
  'requests',
  'rejected',
  'table reads/s',
  'table writes/s',
  'exchange B/s per entry instance',
  'lost',
  'run twice',
] as const;

/** A Markdown table with one row per policy. */
export function renderPolicyTable(rows: readonly PolicyRow[]): string {
  const lines = rows.map(({ policy, figures }) => renderLine([policy, ...renderCells(figures)]));
  return [renderLine(COLUMNS), renderLine(COLUMNS.map(() => '---')), ...lines].join('\n');
}

function renderCells(figures: SimulationResult): readonly string[] {
  const { waits, shortfall, refused } = figures;
  const rejections = Object.entries(refused).map(([reason, count]) => `${reason} ${count}`);
  return [
    renderWaits(waits.urgent),
    String(waits.normal.p99Ms),
    String(waits.batch.p99Ms),
    `${renderPercent(shortfall.worst)} / ${renderPercent(shortfall.mean)}`,
    renderPercent(figures.utilization),
    String(figures.slotsExceeded),
    String(figures.limitExceeded),
    String(figures.requests),
    rejections.length === 0 ? '0' : rejections.join(', '),
    figures.tableReadsPerS.toFixed(2),
    figures.tableWritesPerS.toFixed(2),
    figures.exchangeBytesPerMemberPerS.toFixed(0),
    String(figures.lost),
    String(figures.runTwice),
  ];
}

function renderWaits({ p50Ms, p99Ms, maxMs }: WaitTimes): string {
  return `${p50Ms} / ${p99Ms} / ${maxMs}`;
}

function renderPercent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

function renderLine(values: readonly string[]): string {
  return `| ${values.join(' | ')} |`;
}
