/** Table of the figures of one deployment, one row per policy. */
import type { Figures, Waits } from './simulation';

export interface PolicyRow {
  readonly policy: string;
  readonly figures: Figures;
}

const COLUMNS = [
  'policy',
  'urgent start p50/p99/max ms',
  'normal p99 ms',
  'batch p99 ms',
  'shortfall worst 60 s / mean',
  'slots used when full',
  'over slots',
  'over limit',
  'requests',
  'refused',
  'table reads/s',
  'table writes/s',
  'exchange B/s',
  'lost',
  'run twice',
] as const;

/** A markdown table. */
export function policyTable(rows: readonly PolicyRow[]): string {
  const lines = rows.map(({ policy, figures }) => line([policy, ...cells(figures)]));
  return [line(COLUMNS), line(COLUMNS.map(() => '---')), ...lines].join('\n');
}

function cells(figures: Figures): readonly string[] {
  const { waits, shortfall, refused } = figures;
  const refusals = Object.entries(refused).map(([reason, count]) => `${reason} ${count}`);
  return [
    waitCell(waits.urgent),
    String(waits.normal.p99Ms),
    String(waits.batch.p99Ms),
    `${percent(shortfall.worst)} / ${percent(shortfall.mean)}`,
    percent(figures.utilization),
    String(figures.slotsExceeded),
    String(figures.limitExceeded),
    String(figures.requests),
    refusals.length === 0 ? '0' : refusals.join(', '),
    figures.tableReadsPerS.toFixed(2),
    figures.tableWritesPerS.toFixed(2),
    figures.exchangeBytesPerMemberPerS.toFixed(0),
    String(figures.lost),
    String(figures.runTwice),
  ];
}

function waitCell({ p50Ms, p99Ms, maxMs }: Waits): string {
  return `${p50Ms} / ${p99Ms} / ${maxMs}`;
}

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}

function line(values: readonly string[]): string {
  return `| ${values.join(' | ')} |`;
}
