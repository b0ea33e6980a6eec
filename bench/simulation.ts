/** Runs the admission code of one deployment under load on a virtual clock and collects figures. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { QueueingPolicy } from '../admission/queueing_policy';
import { settlePromises } from '../kernel/virtual_clock';
import { RequestError } from '../model/request_error';
import type { BenchDeployment } from './deployments';
import { FakeDeployment } from './fake_deployment';
import { fakeFleet, fakeQueue } from './fake_fleet';
import { arrivalsOf, type Arrival } from './load';
import { seededRandom } from './seeded_random';
import { ShareMeter, type Shortfall, type TeamLoad } from './share_meter';

const STEP_MS = 10;
const SAMPLE_MS = 100;

/** Time after the load during which the waiting and running work may end, in milliseconds. */
const DRAIN_MS = 80_000;

export interface SimulationOptions {
  readonly deployment: BenchDeployment;
  readonly newPolicy: () => QueueingPolicy;
  readonly seed: number;
  readonly loadMs: number;
}

export interface Waits {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export interface Figures {
  readonly requests: number;
  readonly started: number;
  readonly refused: Readonly<Record<string, number>>;
  readonly waits: Readonly<Record<'urgent' | 'normal' | 'batch', Waits>>;
  readonly shortfall: Shortfall;
  readonly utilization: number;
  /** Largest number of running requests above the slots of a pool. */
  readonly slotsExceeded: number;
  readonly limitExceeded: number;
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
  readonly exchangeBytesPerMemberPerS: number;
  readonly lost: number;
  readonly runTwice: number;
}

/**
 * @example
 * ```ts
 * const figures = await simulate({ deployment, newPolicy: () => new WeightedFair(), seed: 1, loadMs: 120_000 });
 * ```
 */
export function simulate(options: SimulationOptions): Promise<Figures> {
  return new Simulation(options).run();
}

class Simulation {
  private readonly fake: FakeDeployment;
  private readonly random: () => number;
  private readonly meter: ShareMeter;
  private readonly waits = { urgent: newHistogram(), normal: newHistogram(), batch: newHistogram() };
  private readonly refused = new Map<string, number>();
  private readonly limits: ReadonlyMap<string, number>;
  private requests = 0;
  private started = 0;
  private settled = 0;
  private runTwice = 0;
  private slotsExceeded = 0;
  private limitExceeded = 0;

  constructor(private readonly options: SimulationOptions) {
    const { deployment, seed, newPolicy } = options;
    const teams = deployment.accounts.map(({ teamId, shareWeight, upperLimit }) => ({
      teamId,
      shareWeight,
      upperLimit,
    }));
    this.limits = new Map(teams.map(({ teamId, upperLimit }) => [teamId, upperLimit]));
    const queues = [...deployment.workers.keys()].map((poolId) => fakeQueue(poolId, poolId, 60_000));
    const { workers, slotsPerWorker, latencyMs, tableMs } = deployment;
    const fleet = fakeFleet({ teams, queues, workers, slots: slotsPerWorker, revision: 1 });
    const members = deployment.entryInstances;
    this.fake = new FakeDeployment({ members, fleet, newPolicy, seed, latencyMs, tableMs });
    this.random = seededRandom(seed);
    this.meter = new ShareMeter(deployment.accounts, SAMPLE_MS);
  }

  async run(): Promise<Figures> {
    const { loadMs, deployment } = this.options;
    for (let nowMs = 0; nowMs < loadMs; nowMs += STEP_MS) {
      for (const arrival of arrivalsOf(deployment, nowMs, STEP_MS, this.random)) this.submit(arrival);
      await this.step(nowMs);
    }
    for (let nowMs = loadMs; nowMs < loadMs + DRAIN_MS && this.settled < this.requests; nowMs += STEP_MS) {
      await this.step(nowMs);
    }
    return this.figures();
  }

  private async step(nowMs: number): Promise<void> {
    this.fake.clock.advance(STEP_MS);
    await settlePromises();
    if (nowMs % SAMPLE_MS === 0) this.sample(nowMs);
  }

  private submit(arrival: Arrival): void {
    const { clock } = this.fake;
    const member = this.fake.members[arrival.member];
    const queue = this.fake.published().fleet.queues.get(arrival.poolId);
    if (member === undefined || queue === undefined) return;
    this.requests += 1;
    const sinceMs = clock.monotonicMs();
    const { teamId, priority, deadlineMs, runMs } = arrival;
    let starts = 0;
    const request = {
      requestId: String(this.requests),
      teamId,
      queue,
      priority,
      deadlineAtMs: sinceMs + deadlineMs,
      signal: new AbortController().signal,
    };
    member.admit(request).then(
      (admission) => {
        starts += 1;
        if (starts > 1) this.runTwice += 1;
        this.started += 1;
        this.waits[priority].recordValue(Math.round(clock.monotonicMs() - sinceMs));
        clock.schedule(runMs, () => {
          admission.release();
          this.settled += 1;
        });
      },
      (error: unknown) => {
        const reason = error instanceof RequestError ? error.result.name : 'other';
        this.refused.set(reason, (this.refused.get(reason) ?? 0) + 1);
        this.settled += 1;
      },
    );
  }

  private sample(nowMs: number): void {
    const { workers, slotsPerWorker } = this.options.deployment;
    const counts = this.fake.members.map((member) => member.service.gate.counts());
    const totals = new Map([...workers.keys()].map((poolId) => [poolId, new Map<string, TeamLoad>()]));
    const ofTeams = new Map<string, number>();
    for (const [poolId, teams] of counts.flatMap((pools) => [...pools])) {
      const pool = totals.get(poolId);
      for (const [teamId, { running, waiting }] of teams) {
        const before = pool?.get(teamId) ?? { running: 0, waiting: 0, elsewhere: 0 };
        pool?.set(teamId, {
          ...before,
          running: before.running + running,
          waiting: before.waiting + waiting,
        });
        ofTeams.set(teamId, (ofTeams.get(teamId) ?? 0) + running);
      }
    }
    for (const [teamId, running] of ofTeams) {
      this.limitExceeded = Math.max(this.limitExceeded, running - (this.limits.get(teamId) ?? 0));
    }
    for (const [poolId, teams] of totals) {
      const slots = (workers.get(poolId) ?? 0) * slotsPerWorker;
      const running = [...teams.values()].reduce((sum, load) => sum + load.running, 0);
      this.slotsExceeded = Math.max(this.slotsExceeded, running - slots);
      const loads = [...teams].map(
        ([teamId, load]) =>
          [teamId, { ...load, elsewhere: (ofTeams.get(teamId) ?? 0) - load.running }] as const,
      );
      this.meter.sample(nowMs, poolId, slots, new Map(loads));
    }
  }

  private figures(): Figures {
    const elapsedS = this.fake.clock.monotonicMs() / 1_000;
    const sum = (of: (member: FakeDeployment['members'][number]) => number): number =>
      this.fake.members.reduce((total, member) => total + of(member), 0);
    return {
      requests: this.requests,
      started: this.started,
      refused: Object.fromEntries(this.refused),
      waits: {
        urgent: waitsOf(this.waits.urgent),
        normal: waitsOf(this.waits.normal),
        batch: waitsOf(this.waits.batch),
      },
      shortfall: this.meter.shortfall(),
      utilization: this.meter.utilization(),
      slotsExceeded: this.slotsExceeded,
      limitExceeded: this.limitExceeded,
      tableReadsPerS: sum(({ table }) => table.calls.reads) / elapsedS,
      tableWritesPerS: sum(({ table }) => table.calls.writes) / elapsedS,
      exchangeBytesPerMemberPerS:
        sum(({ exchange }) => exchange.sentBytes()) / elapsedS / this.fake.members.length,
      lost: this.requests - this.settled,
      runTwice: this.runTwice,
    };
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000,
    numberOfSignificantValueDigits: 3,
  });
}

function waitsOf(histogram: Histogram): Waits {
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}
