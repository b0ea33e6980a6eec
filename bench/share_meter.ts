/** How far teams stay below their weighted share while a pool is full. */
import { divideFairly } from '../admission/water_filling';
import type { Account } from './deployments';

const WINDOW_MS = 60_000;

/** Shortest time that a pool must have been full for a window to count, in milliseconds. */
const LEAST_FULL_MS = 2_000;

/** Work of a team in a pool over all entry instances, at one moment. */
export interface TeamLoad {
  readonly running: number;
  readonly waiting: number;
  /** Running work of the team in other pools. */
  readonly elsewhere: number;
}

interface Sample {
  readonly atMs: number;
  readonly due: number;
  readonly used: number;
}

export interface Shortfall {
  readonly worst: number;
  readonly mean: number;
}

/** Compares used slots with weighted shares, sampled at regular intervals. */
export class ShareMeter {
  private readonly samples = new Map<string, Sample[]>();
  private usedSlots = 0;
  private fullSlots = 0;

  constructor(
    private readonly accounts: readonly Account[],
    private readonly sampleMs: number,
  ) {}

  /** Takes one sample of a pool. */
  sample(atMs: number, poolId: string, slots: number, loads: ReadonlyMap<string, TeamLoad>): void {
    const total = [...loads.values()].reduce((sum, load) => sum + load.running + load.waiting, 0);
    if (total < slots) return;
    this.fullSlots += slots;
    const claims = this.accounts.map(({ teamId, shareWeight, upperLimit }) => {
      const load = loads.get(teamId);
      const demand = (load?.running ?? 0) + (load?.waiting ?? 0);
      return {
        id: teamId,
        demand: Math.min(demand, upperLimit - (load?.elsewhere ?? 0)),
        weight: shareWeight,
      };
    });
    const due = divideFairly(slots, claims);
    const demandOf = new Map(claims.map(({ id, demand }) => [id, demand]));
    for (const [teamId, { running }] of loads) {
      this.usedSlots += running;
      // A team that asks for less than its share is judged by its waiting times.
      if ((demandOf.get(teamId) ?? 0) <= (due.get(teamId) ?? 0)) continue;
      const name = `${poolId}/${teamId}`;
      const line = this.samples.get(name) ?? [];
      line.push({ atMs, due: due.get(teamId) ?? 0, used: running });
      this.samples.set(name, line);
    }
  }

  /** The largest shortfall of any team in any pool over a window, and the mean over teams and pools. */
  shortfall(): Shortfall {
    const lines = [...this.samples.values()];
    const worst = Math.max(0, ...lines.map((line) => this.worstWindow(line)));
    const means = lines.map((line) => shortfallOf(line));
    const mean = means.reduce((sum, value) => sum + value, 0) / Math.max(1, means.length);
    return { worst, mean };
  }

  /** Part of the slots that were in use while pools were full. */
  utilization(): number {
    return this.fullSlots === 0 ? 1 : this.usedSlots / this.fullSlots;
  }

  private worstWindow(line: readonly Sample[]): number {
    const lastMs = line.at(-1)?.atMs ?? 0;
    let worst = 0;
    for (
      let fromMs = 0;
      fromMs === 0 || fromMs + WINDOW_MS <= lastMs + WINDOW_MS / 2;
      fromMs += WINDOW_MS / 12
    ) {
      const window = line.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS);
      if (window.length * this.sampleMs < LEAST_FULL_MS) continue;
      worst = Math.max(worst, shortfallOf(window));
    }
    return worst;
  }
}

function shortfallOf(samples: readonly Sample[]): number {
  const due = samples.reduce((sum, sample) => sum + sample.due, 0);
  const used = samples.reduce((sum, sample) => sum + sample.used, 0);
  return due === 0 ? 0 : Math.max(0, 1 - used / due);
}
