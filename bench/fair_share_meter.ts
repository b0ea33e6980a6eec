/** Measures how far teams stay below their weighted fair share while a pool is full. */
import { divideFairly } from '../admission/water_filling';
import type { BenchTeam } from './bench_deployments';

/** Length of the windows over which the worst shortfall is taken, in milliseconds. */
const WINDOW_MS = 60_000;

/** Shortest time for which a pool must have been full in a window for the window to count, in milliseconds. */
const MIN_FULL_MS = 2_000;

/** Requests of a team in a pool at one moment, over all entry instances. */
export interface TeamLoad {
  readonly running: number;
  readonly waiting: number;
  /** Running requests of the team in other pools; they count towards its upper limit. */
  readonly runningInOtherPools: number;
}

/** One team in one pool at one moment, in slots. */
interface Sample {
  readonly atMs: number;
  readonly fairShare: number;
  readonly used: number;
}

/** How far the slots in use fall short of the fair share, as a fraction of the fair share. */
export interface Shortfall {
  /** Largest value of any team in any pool over a window. */
  readonly worst: number;
  /** Mean over teams and pools, each over the whole run. */
  readonly mean: number;
}

/** Compares the slots in use with the weighted fair shares, sampled at regular intervals. */
export class FairShareMeter {
  private readonly samples = new Map<string, Sample[]>();
  /** Sums over all samples of full pools: slots in use, and all slots. */
  private usedSlots = 0;
  private fullSlots = 0;

  constructor(
    private readonly teams: readonly BenchTeam[],
    private readonly sampleIntervalMs: number,
  ) {}

  /** Samples a pool; samples in which the demand is below the slots are ignored. */
  sample(atMs: number, poolId: string, slots: number, loads: ReadonlyMap<string, TeamLoad>): void {
    const total = [...loads.values()].reduce((sum, load) => sum + load.running + load.waiting, 0);
    if (total < slots) return;
    this.fullSlots += slots;
    const claims = this.teams.map(({ teamId, shareWeight, upperLimit }) => {
      const load = loads.get(teamId);
      const demand = (load?.running ?? 0) + (load?.waiting ?? 0);
      return {
        id: teamId,
        demand: Math.min(demand, upperLimit - (load?.runningInOtherPools ?? 0)),
        weight: shareWeight,
      };
    });
    const fairShares = divideFairly(slots, claims);
    const demandOf = new Map(claims.map(({ id, demand }) => [id, demand]));
    for (const [teamId, { running }] of loads) {
      this.usedSlots += running;
      // A team whose whole demand fits into its fair share is judged by its wait times instead.
      if ((demandOf.get(teamId) ?? 0) <= (fairShares.get(teamId) ?? 0)) continue;
      const name = `${poolId}/${teamId}`;
      const series = this.samples.get(name) ?? [];
      series.push({ atMs, fairShare: fairShares.get(teamId) ?? 0, used: running });
      this.samples.set(name, series);
    }
  }

  shortfall(): Shortfall {
    const allSeries = [...this.samples.values()];
    const worst = Math.max(0, ...allSeries.map((series) => this.largestWindowShortfall(series)));
    const means = allSeries.map((series) => shortfallOf(series));
    const mean = means.reduce((sum, value) => sum + value, 0) / Math.max(1, means.length);
    return { worst, mean };
  }

  /** Fraction of the slots in use while pools were full, 1 if no pool ever was. */
  utilization(): number {
    return this.fullSlots === 0 ? 1 : this.usedSlots / this.fullSlots;
  }

  /** Windows overlap: each starts a twelfth of its length after the previous one. */
  private largestWindowShortfall(series: readonly Sample[]): number {
    const lastMs = series.at(-1)?.atMs ?? 0;
    let worst = 0;
    for (
      let fromMs = 0;
      fromMs === 0 || fromMs + WINDOW_MS <= lastMs + WINDOW_MS / 2;
      fromMs += WINDOW_MS / 12
    ) {
      const window = series.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
      if (window.length * this.sampleIntervalMs < MIN_FULL_MS) continue;
      worst = Math.max(worst, shortfallOf(window));
    }
    return worst;
  }
}

function shortfallOf(samples: readonly Sample[]): number {
  const fairShare = samples.reduce((sum, sample) => sum + sample.fairShare, 0);
  const used = samples.reduce((sum, sample) => sum + sample.used, 0);
  return fairShare === 0 ? 0 : Math.max(0, 1 - used / fairShare);
}
