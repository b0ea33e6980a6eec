/** Renders a summary of logs as one HTML page with plots, without references to other files. */
import { readFileSync } from 'node:fs';
import type { DaySummary, Series } from './day_summary';

/** More lines in a plot cannot be told apart; the ones with the highest values are drawn. */
const MAX_LINES = 12;

interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly series: readonly (readonly [name: string, values: Series])[];
}

/**
 * Renders the page.
 *
 * @example
 * ```ts
 * await writeFile('report.html', renderReport(collector.summary()));
 * ```
 */
export function renderReport(summary: DaySummary): string {
  const plots = plotsOf(summary).filter(({ series }) => series.some(([, values]) => values.size > 0));
  const data = plots.map((plot) => plotData(plot, summary.firstSecond));
  const script = readFileSync(require.resolve('uplot/dist/uPlot.iife.min.js'), 'utf8');
  const style = readFileSync(require.resolve('uplot/dist/uPlot.min.css'), 'utf8');
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>endivestand report</title>
<style>${style}
body{font-family:sans-serif;margin:1.5em;max-width:70em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}</style></head>
<body><h1>endivestand report</h1>
<p>${summary.lines} lines, ${summary.unreadable} unreadable; begins at ${isoTime(summary.firstSecond)}. ${summary.neverStarted} accepted jobs without a start. The horizontal axis is in seconds since the first line.</p>
<h2>Placement leaders</h2>
${leaderTable(summary)}
<div id="plots"></div>
<script>${script}</script>
<script>
const plots = ${embed(data)};
const colors = ['#1f77b4','#ff7f0e','#2ca02c','#d62728','#9467bd','#8c564b','#e377c2','#7f7f7f','#bcbd22','#17becf','#003f5c','#665191'];
for (const { title, unit, names, values } of plots) {
  const heading = document.createElement('h2');
  heading.textContent = title + ' (' + unit + ')';
  const element = document.createElement('div');
  document.getElementById('plots').append(heading, element);
  const series = [{ label: 's' }, ...names.map((label, index) => ({ label, stroke: colors[index % colors.length], spanGaps: true, dash: label.endsWith(' wanted') ? [6, 4] : [] }))];
  new uPlot({ width: 1000, height: 260, scales: { x: { time: false } }, series }, values, element);
}
</script></body></html>
`;
}

function plotsOf(summary: DaySummary): readonly Plot[] {
  const { startLatencyMs, wantedByPool, usableByPool, usedByClientAccount } = summary;
  const pools = [...usableByPool].flatMap(([poolId, usable]) => [
    [`${poolId} usable`, usable] as const,
    [`${poolId} wanted`, wantedByPool.get(poolId) ?? new Map<number, number>()] as const,
  ]);
  return [
    {
      title: 'Time from acceptance to first start',
      unit: 'ms',
      series: [
        ['median', startLatencyMs.median],
        ['95th percentile', startLatencyMs.p95],
      ],
    },
    { title: 'Instances of pools', unit: 'instances', series: pools },
    { title: 'Use by client account', unit: 'processors', series: highest(usedByClientAccount) },
    { title: 'Waves', unit: 'instances left', series: [...summary.remainingByWave] },
    { title: 'Rejected calls', unit: 'a second', series: highest(summary.rejectedByReason) },
    { title: 'Limit of starts', unit: 'a second', series: [['limit', summary.startLimitPerSecond]] },
  ];
}

function highest(series: ReadonlyMap<string, Series>): readonly (readonly [string, Series])[] {
  const peak = (values: Series): number => Math.max(0, ...values.values());
  return [...series].sort(([, a], [, b]) => peak(b) - peak(a)).slice(0, MAX_LINES);
}

interface PlotData {
  readonly title: string;
  readonly unit: string;
  readonly names: readonly string[];
  /** Seconds, then the values of each series. */
  readonly values: readonly (readonly (number | null)[])[];
}

function plotData({ title, unit, series }: Plot, firstSecond: number): PlotData {
  const seconds = [...new Set(series.flatMap(([, values]) => [...values.keys()]))].sort((a, b) => a - b);
  return {
    title,
    unit,
    names: series.map(([name]) => name),
    values: [
      seconds.map((second) => second - firstSecond),
      ...series.map(([, values]) => seconds.map((second) => values.get(second) ?? null)),
    ],
  };
}

function leaderTable({ leaders, firstSecond }: DaySummary): string {
  const rows = leaders.map(
    ({ second, process, isAcquired, reason }) =>
      `<tr><td>${second - firstSecond}</td><td>${escapeHtml(process)}</td><td>${isAcquired ? 'acquired' : 'lost'}</td><td>${escapeHtml(reason)}</td></tr>`,
  );
  return `<table><tr><th>second</th><th>process</th><th>lease</th><th>reason</th></tr>${rows.join('')}</table>`;
}

function isoTime(second: number): string {
  return new Date(second * 1_000).toISOString();
}

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => `&#${character.charCodeAt(0)};`);
}

/** JSON that cannot end the script element that contains it. */
function embed(value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c');
}
