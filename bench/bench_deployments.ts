/** The two deployments described on the design page, as the benchmarks model them. */
import type { Priority } from '../model/fleet';

/** A team and its part of the load. */
export interface BenchTeam {
  readonly teamId: string;
  readonly shareWeight: number;
  /** Most requests of the team that may run at once, over all pools. */
  readonly upperLimit: number;
  /** Fraction of all requests that this team sends. */
  readonly loadFraction: number;
}

/** Requests of one priority. */
export interface RequestClass {
  readonly priority: Priority;
  /** Fraction of all requests that have this priority. */
  readonly loadFraction: number;
  /** Mean of the exponentially distributed run time, in milliseconds. */
  readonly meanRunMs: number;
  readonly deadlineMs: number;
}

export interface BenchDeployment {
  readonly name: string;
  readonly entryInstanceCount: number;
  /** One-way network latency between entry instances, in milliseconds. */
  readonly oneWayLatencyMs: number;
  /** Response time of the table service, in milliseconds. */
  readonly tableResponseMs: number;
  readonly slotsPerWorker: number;
  /** Number of workers by pool; each pool has one queue of the same name. */
  readonly workersByPool: ReadonlyMap<string, number>;
  readonly teams: readonly BenchTeam[];
  readonly requestClasses: readonly RequestClass[];
  /** Duration of one burst, in milliseconds; the queues burst one after the other. */
  readonly burstMs: number;
  /** Mean load as a fraction of a pool's capacity. */
  readonly meanLoadFraction: number;
}

/** Arrival rate during a burst, relative to the mean rate. */
export const BURST_FACTOR = 5;
/** Arrival rate between bursts, relative to the mean rate. */
export const QUIET_FACTOR = 1 / 20;

const QUETZAL: BenchDeployment = {
  name: 'Quetzal Orbital Brokerage',
  entryInstanceCount: 7,
  oneWayLatencyMs: 1.5,
  tableResponseMs: 6,
  slotsPerWorker: 8,
  workersByPool: new Map([
    ['quotes', 8],
    ['holds', 7],
    ['releases', 6],
    ['manifests', 8],
    ['billing', 6],
  ]),
  teams: [
    { teamId: 'desk-north', shareWeight: 3, upperLimit: 140, loadFraction: 0.32 },
    { teamId: 'desk-south', shareWeight: 2, upperLimit: 120, loadFraction: 0.26 },
    { teamId: 'desk-polar', shareWeight: 2, upperLimit: 80, loadFraction: 0.17 },
    { teamId: 'desk-cargo', shareWeight: 1, upperLimit: 60, loadFraction: 0.12 },
    { teamId: 'portal', shareWeight: 2, upperLimit: 60, loadFraction: 0.08 },
    { teamId: 'accounting', shareWeight: 1, upperLimit: 40, loadFraction: 0.05 },
  ],
  requestClasses: [
    { priority: 'urgent', loadFraction: 0.15, meanRunMs: 300, deadlineMs: 10_000 },
    { priority: 'normal', loadFraction: 0.6, meanRunMs: 500, deadlineMs: 30_000 },
    { priority: 'batch', loadFraction: 0.25, meanRunMs: 1_200, deadlineMs: 60_000 },
  ],
  burstMs: 12_000,
  meanLoadFraction: 0.3,
};

const HRAFNAGIL: BenchDeployment = {
  name: 'Hrafnagil Vanilla Pollination Cooperative',
  entryInstanceCount: 8,
  oneWayLatencyMs: 1,
  tableResponseMs: 6,
  slotsPerWorker: 8,
  workersByPool: new Map([
    ['call-outs', 9],
    ['rosters', 7],
    ['weather', 6],
    ['records', 7],
    ['administration', 6],
  ]),
  teams: [
    { teamId: 'valley-east', shareWeight: 4, upperLimit: 140, loadFraction: 0.34 },
    { teamId: 'valley-west', shareWeight: 3, upperLimit: 120, loadFraction: 0.28 },
    { teamId: 'greenhouses', shareWeight: 1, upperLimit: 60, loadFraction: 0.13 },
    { teamId: 'coast', shareWeight: 1, upperLimit: 60, loadFraction: 0.11 },
    { teamId: 'nursery', shareWeight: 1, upperLimit: 40, loadFraction: 0.08 },
    { teamId: 'office', shareWeight: 1, upperLimit: 40, loadFraction: 0.06 },
  ],
  requestClasses: [
    { priority: 'urgent', loadFraction: 0.25, meanRunMs: 400, deadlineMs: 10_000 },
    { priority: 'normal', loadFraction: 0.35, meanRunMs: 500, deadlineMs: 30_000 },
    { priority: 'batch', loadFraction: 0.4, meanRunMs: 1_000, deadlineMs: 60_000 },
  ],
  burstMs: 12_000,
  meanLoadFraction: 0.3,
};

export const BENCH_DEPLOYMENTS: readonly BenchDeployment[] = [QUETZAL, HRAFNAGIL];
