/** The two deployments of the design page as the measurements model them. */
import type { Priority } from '../model/fleet';

export interface Account {
  readonly teamId: string;
  readonly shareWeight: number;
  readonly upperLimit: number;
  /** Part of all requests. */
  readonly loadPart: number;
}

export interface WorkClass {
  readonly priority: Priority;
  readonly part: number;
  /** Mean of an exponential distribution, in milliseconds. */
  readonly meanRunMs: number;
  readonly deadlineMs: number;
}

export interface BenchDeployment {
  readonly name: string;
  readonly entryInstances: number;
  /** One way between entry instances, in milliseconds. */
  readonly latencyMs: number;
  /** Answer time of the table in milliseconds. */
  readonly tableMs: number;
  readonly slotsPerWorker: number;
  /** Workers by pool; each pool has one queue of the same name. */
  readonly workers: ReadonlyMap<string, number>;
  readonly accounts: readonly Account[];
  readonly classes: readonly WorkClass[];
  /** Length of the burst of each queue; the queues burst in turn. */
  readonly burstMs: number;
  /** Mean load as a part of what a pool holds. */
  readonly meanLoad: number;
}

/** Load during a burst and between bursts, relative to the mean. */
export const BURST_FACTOR = 5;
export const QUIET_FACTOR = 1 / 20;

const QUETZAL: BenchDeployment = {
  name: 'Quetzal Orbital Brokerage',
  entryInstances: 7,
  latencyMs: 1.5,
  tableMs: 6,
  slotsPerWorker: 8,
  workers: new Map([
    ['quotes', 8],
    ['holds', 7],
    ['releases', 6],
    ['manifests', 8],
    ['billing', 6],
  ]),
  accounts: [
    { teamId: 'desk-north', shareWeight: 3, upperLimit: 140, loadPart: 0.32 },
    { teamId: 'desk-south', shareWeight: 2, upperLimit: 120, loadPart: 0.26 },
    { teamId: 'desk-polar', shareWeight: 2, upperLimit: 80, loadPart: 0.17 },
    { teamId: 'desk-cargo', shareWeight: 1, upperLimit: 60, loadPart: 0.12 },
    { teamId: 'portal', shareWeight: 2, upperLimit: 60, loadPart: 0.08 },
    { teamId: 'accounting', shareWeight: 1, upperLimit: 40, loadPart: 0.05 },
  ],
  classes: [
    { priority: 'urgent', part: 0.15, meanRunMs: 300, deadlineMs: 10_000 },
    { priority: 'normal', part: 0.6, meanRunMs: 500, deadlineMs: 30_000 },
    { priority: 'batch', part: 0.25, meanRunMs: 1_200, deadlineMs: 60_000 },
  ],
  burstMs: 12_000,
  meanLoad: 0.3,
};

const HRAFNAGIL: BenchDeployment = {
  name: 'Hrafnagil Vanilla Pollination Cooperative',
  entryInstances: 8,
  latencyMs: 1,
  tableMs: 6,
  slotsPerWorker: 8,
  workers: new Map([
    ['call-outs', 9],
    ['rosters', 7],
    ['weather', 6],
    ['records', 7],
    ['administration', 6],
  ]),
  accounts: [
    { teamId: 'valley-east', shareWeight: 4, upperLimit: 140, loadPart: 0.34 },
    { teamId: 'valley-west', shareWeight: 3, upperLimit: 120, loadPart: 0.28 },
    { teamId: 'greenhouses', shareWeight: 1, upperLimit: 60, loadPart: 0.13 },
    { teamId: 'coast', shareWeight: 1, upperLimit: 60, loadPart: 0.11 },
    { teamId: 'nursery', shareWeight: 1, upperLimit: 40, loadPart: 0.08 },
    { teamId: 'office', shareWeight: 1, upperLimit: 40, loadPart: 0.06 },
  ],
  classes: [
    { priority: 'urgent', part: 0.25, meanRunMs: 400, deadlineMs: 10_000 },
    { priority: 'normal', part: 0.35, meanRunMs: 500, deadlineMs: 30_000 },
    { priority: 'batch', part: 0.4, meanRunMs: 1_000, deadlineMs: 60_000 },
  ],
  burstMs: 12_000,
  meanLoad: 0.3,
};

export const BENCH_DEPLOYMENTS: readonly BenchDeployment[] = [QUETZAL, HRAFNAGIL];
