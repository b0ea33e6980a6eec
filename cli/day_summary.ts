/** Summarizes the logs of all processes by second, for the plots of a report. */
import { z } from 'zod';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { parseLogLine, type LogLine } from './log_line';

/** Values by second; a second without a value has none. */
export type Series = ReadonlyMap<number, number>;

export interface LeaderChange {
  readonly second: number;
  readonly process: string;
  /** Whether the process acquired the lease; otherwise it lost it for `reason`. */
  readonly isAcquired: boolean;
  readonly reason: string;
}

export interface DaySummary {
  readonly lines: number;
  /** Lines that are truncated or no log lines. */
  readonly unreadable: number;
  /** Unix second at which the logs begin. */
  readonly firstSecond: number;
  /** Median and 95th percentile of the time from acceptance to the first start, in milliseconds. */
  readonly startLatencyMs: { readonly median: Series; readonly p95: Series };
  /** Jobs accepted and never started. */
  readonly neverStarted: number;
  readonly wantedByPool: ReadonlyMap<string, Series>;
  readonly usableByPool: ReadonlyMap<string, Series>;
  /** Processors in use, by client account. */
  readonly usedByClientAccount: ReadonlyMap<string, Series>;
  readonly remainingByWave: ReadonlyMap<string, Series>;
  readonly rejectedByReason: ReadonlyMap<string, Series>;
  readonly startLimitPerSecond: Series;
  readonly leaders: readonly LeaderChange[];
}

const poolSummarySchema = z.object({
  startLimitPerSecond: z.number().nullish(),
  pools: z.array(z.object({ poolId: z.string(), usable: z.number(), wanted: z.number() })),
  teams: z.array(z.tuple([z.string(), z.number(), z.number()])),
});

type MutableSeries = Map<number, number>;

/**
 * Takes lines in any order and needs memory for the jobs that wait and for each second,
 * not for the lines.
 *
 * @example
 * ```ts
 * for await (const text of lines) collector.add(text);
 * const summary = collector.summary();
 * ```
 */
export class DaySummaryCollector {
  private lines = 0;
  private unreadable = 0;
  private firstSecond = Infinity;
  /** When each accepted job that has not started was accepted. */
  private readonly acceptedAtMs = new Map<string, number>();
  /** When the first start of jobs was logged whose acceptance has not been read yet. */
  private readonly startedAtMs = new Map<string, number>();
  private readonly settledJobs = new Set<string>();
  private readonly latenciesMs = new Map<number, number[]>();
  private readonly wantedByPool = new Map<string, MutableSeries>();
  private readonly usableByPool = new Map<string, MutableSeries>();
  private readonly usedByClientAccount = new Map<string, MutableSeries>();
  private readonly remainingByWave = new Map<string, MutableSeries>();
  private readonly rejectedByReason = new Map<string, MutableSeries>();
  private readonly startLimit: MutableSeries = new Map();
  private readonly leaders: LeaderChange[] = [];

  /** Adds one line of a log. */
  add(text: string): void {
    if (text.trim() === '') return;
    this.lines += 1;
    const line = parseLogLine(text);
    if (line === null) {
      this.unreadable += 1;
      return;
    }
    this.firstSecond = Math.min(this.firstSecond, secondOf(line));
    this.addEvent(line);
  }

  summary(): DaySummary {
    const seconds = [...this.latenciesMs];
    const quantiles = (fraction: number): Series =>
      new Map(seconds.map(([second, values]) => [second, quantile(values, fraction)]));
    return {
      lines: this.lines,
      unreadable: this.unreadable,
      firstSecond: Number.isFinite(this.firstSecond) ? this.firstSecond : 0,
      startLatencyMs: { median: quantiles(0.5), p95: quantiles(0.95) },
      neverStarted: this.acceptedAtMs.size,
      wantedByPool: this.wantedByPool,
      usableByPool: this.usableByPool,
      usedByClientAccount: this.usedByClientAccount,
      remainingByWave: this.remainingByWave,
      rejectedByReason: this.rejectedByReason,
      startLimitPerSecond: this.startLimit,
      leaders: [...this.leaders].sort((a, b) => a.second - b.second),
    };
  }

  private addEvent(line: LogLine): void {
    const { eventId, fields } = line;
    const second = secondOf(line);
    if (eventId === LOG_EVENTS.jobAccepted.id) this.addAcceptance(line);
    else if (eventId === LOG_EVENTS.taskStarted.id) this.addStart(line);
    else if (eventId === LOG_EVENTS.poolSummary.id) this.addPoolSummary(line);
    else if (eventId === LOG_EVENTS.jobRejected.id || eventId === LOG_EVENTS.jobRejectedShort.id)
      increment(seriesOf(this.rejectedByReason, textOf(fields.reason)), second);
    else if (eventId === LOG_EVENTS.waveProgress.id && typeof fields.remaining === 'number')
      seriesOf(this.remainingByWave, textOf(fields.waveNumber)).set(second, fields.remaining);
    else if (eventId === LOG_EVENTS.leaseAcquired.id || eventId === LOG_EVENTS.leadershipLost.id)
      this.leaders.push({
        second,
        process: line.process,
        isAcquired: eventId === LOG_EVENTS.leaseAcquired.id,
        reason: textOf(fields.reason),
      });
  }

  private addAcceptance({ timeMs, fields }: LogLine): void {
    const { jobId, isNew } = fields;
    if (typeof jobId !== 'string' || isNew === false || this.settledJobs.has(jobId)) return;
    const startedAtMs = this.startedAtMs.get(jobId);
    if (startedAtMs === undefined) this.acceptedAtMs.set(jobId, timeMs);
    else this.settle(jobId, timeMs, startedAtMs);
  }

  private addStart({ timeMs, fields }: LogLine): void {
    const { jobId } = fields;
    if (typeof jobId !== 'string' || this.settledJobs.has(jobId)) return;
    const acceptedAtMs = this.acceptedAtMs.get(jobId);
    if (acceptedAtMs !== undefined) this.settle(jobId, acceptedAtMs, timeMs);
    else this.startedAtMs.set(jobId, Math.min(timeMs, this.startedAtMs.get(jobId) ?? Infinity));
  }

  private settle(jobId: string, acceptedAtMs: number, startedAtMs: number): void {
    this.acceptedAtMs.delete(jobId);
    this.startedAtMs.delete(jobId);
    this.settledJobs.add(jobId);
    const second = Math.floor(acceptedAtMs / 1_000);
    const values = this.latenciesMs.get(second) ?? [];
    this.latenciesMs.set(second, values);
    // The clocks of two processes differ, so that a start may appear to precede the acceptance.
    values.push(Math.max(0, startedAtMs - acceptedAtMs));
  }

  private addPoolSummary(line: LogLine): void {
    const parsed = poolSummarySchema.safeParse(line.fields);
    if (!parsed.success) return;
    const second = secondOf(line);
    const { pools, teams, startLimitPerSecond } = parsed.data;
    for (const { poolId, wanted, usable } of pools) {
      seriesOf(this.wantedByPool, poolId).set(second, wanted);
      seriesOf(this.usableByPool, poolId).set(second, usable);
    }
    for (const [clientAccount, used] of teams)
      seriesOf(this.usedByClientAccount, clientAccount).set(second, used);
    if (typeof startLimitPerSecond === 'number') this.startLimit.set(second, startLimitPerSecond);
  }
}

function secondOf({ timeMs }: LogLine): number {
  return Math.floor(timeMs / 1_000);
}

function textOf(value: unknown): string {
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

function seriesOf(series: Map<string, MutableSeries>, name: string): MutableSeries {
  const known = series.get(name) ?? new Map<number, number>();
  series.set(name, known);
  return known;
}

function increment(series: MutableSeries, second: number): void {
  series.set(second, (series.get(second) ?? 0) + 1);
}

function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0;
}
