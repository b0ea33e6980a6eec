/** Runs the real admission code of a simulated deployment under load on a virtual clock and measures it. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { QueueingPolicy } from '../admission/queueing_policy';
import { settlePromises } from '../kernel/virtual_clock';
import { RequestError } from '../model/request_error';
import type { BenchDeployment } from './bench_deployments';
import { FakeDeployment } from './fake_deployment';
import { fakeFleet, fakeQueue } from './fake_fleet';
import { generateArrivals, type Arrival } from './arrivals';
import { seededRandom } from './seeded_random';
import { FairShareMeter, type Shortfall, type TeamLoad } from './fair_share_meter';

const STEP_MS = 10;
const SAMPLE_INTERVAL_MS = 100;

/** Longest time after the load for which the simulation waits for queued and running requests to end. */
const DRAIN_MS = 80_000;

export interface AdmissionSimulationOptions {
  readonly deployment: BenchDeployment;
  readonly newPolicy: () => QueueingPolicy;
  readonly seed: number;
  /** Time during which requests arrive, in milliseconds. */
  readonly loadMs: number;
}

/** Distribution of the times from submission to start. */
export interface WaitTimes {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

export interface SimulationResult {
  readonly requests: number;
  readonly started: number;
  /** Number of rejected requests by result code name. */
  readonly refused: Readonly<Record<string, number>>;
  readonly waits: Readonly<Record<'urgent' | 'normal' | 'batch', WaitTimes>>;
  readonly shortfall: Shortfall;
  /** Fraction of the slots in use while the demand for a pool is at least its slots. */
  readonly utilization: number;
  /** Most running requests in excess of the slots of a pool. */
  readonly slotsExceeded: number;
  /** Most running requests of a team in excess of its upper limit. */
  readonly limitExceeded: number;
  readonly tableReadsPerS: number;
  readonly tableWritesPerS: number;
  readonly exchangeBytesPerMemberPerS: number;
  /** Requests that neither ended nor were rejected. */
  readonly lost: number;
  /** Starts of requests that had been started before. */
  readonly runTwice: number;
}

/**
 * Simulates a deployment under load and resolves with the measurements.
 *
 * @example
 * ```ts
 * const result = await simulateAdmission({ deployment, newPolicy: () => new WeightedFair(), seed: 1, loadMs: 120_000 });
 * ```
 */
export function simulateAdmission(options: AdmissionSimulationOptions): Promise<SimulationResult> {
  return new AdmissionSimulation(options).run();
}

class AdmissionSimulation {
  private readonly simulated: FakeDeployment;
  private readonly random: () => number;
  private readonly meter: FairShareMeter;
  private readonly waits = { urgent: newHistogram(), normal: newHistogram(), batch: newHistogram() };
  private readonly rejectionCounts = new Map<string, number>();
  private readonly upperLimits: ReadonlyMap<string, number>;
  private requests = 0;
  private started = 0;
  private settled = 0;
  private runTwice = 0;
  private slotsExceeded = 0;
  private limitExceeded = 0;

  constructor(private readonly options: AdmissionSimulationOptions) {
    const { deployment, seed, newPolicy } = options;
    const teams = deployment.teams.map(({ teamId, shareWeight, upperLimit }) => ({
      teamId,
      shareWeight,
      upperLimit,
    }));
    this.upperLimits = new Map(teams.map(({ teamId, upperLimit }) => [teamId, upperLimit]));
    const queues = [...deployment.workersByPool.keys()].map((poolId) => fakeQueue(poolId, poolId, 60_000));
    const { workersByPool, slotsPerWorker, oneWayLatencyMs, tableResponseMs } = deployment;
    const fleet = fakeFleet({ teams, queues, workers: workersByPool, slots: slotsPerWorker, revision: 1 });
    const members = deployment.entryInstanceCount;
    this.simulated = new FakeDeployment({
      members,
      fleet,
      newPolicy,
      seed,
      oneWayLatencyMs,
      tableResponseMs,
    });
    this.random = seededRandom(seed);
    this.meter = new FairShareMeter(deployment.teams, SAMPLE_INTERVAL_MS);
  }

  async run(): Promise<SimulationResult> {
    const { loadMs, deployment } = this.options;
    for (let nowMs = 0; nowMs < loadMs; nowMs += STEP_MS) {
      for (const arrival of generateArrivals(deployment, nowMs, STEP_MS, this.random)) this.submit(arrival);
      await this.step(nowMs);
    }
    for (let nowMs = loadMs; nowMs < loadMs + DRAIN_MS && this.settled < this.requests; nowMs += STEP_MS) {
      await this.step(nowMs);
    }
    return this.buildResult();
  }

  private async step(nowMs: number): Promise<void> {
    this.simulated.clock.advance(STEP_MS);
    await settlePromises();
    if (nowMs % SAMPLE_INTERVAL_MS === 0) this.sample(nowMs);
  }

  private submit(arrival: Arrival): void {
    const { clock } = this.simulated;
    const member = this.simulated.members[arrival.memberIndex];
    const queue = this.simulated.published().fleet.queues.get(arrival.poolId);
    if (member === undefined || queue === undefined) return;
    this.requests += 1;
    const submittedAtMs = clock.monotonicMs();
    const { teamId, priority, deadlineMs, runMs } = arrival;
    let starts = 0;
    const request = {
      requestId: String(this.requests),
      teamId,
      queue,
      priority,
      deadlineAtMs: submittedAtMs + deadlineMs,
      signal: new AbortController().signal,
    };
    member.admit(request).then(
      (admission) => {
        starts += 1;
        if (starts > 1) this.runTwice += 1;
        this.started += 1;
        this.waits[priority].recordValue(Math.round(clock.monotonicMs() - submittedAtMs));
        clock.schedule(runMs, () => {
          admission.release();
          this.settled += 1;
        });
      },
      (error: unknown) => {
        const reason = error instanceof RequestError ? error.result.name : 'other';
        this.rejectionCounts.set(reason, (this.rejectionCounts.get(reason) ?? 0) + 1);
        this.settled += 1;
      },
    );
  }

  private sample(nowMs: number): void {
    const { workersByPool, slotsPerWorker } = this.options.deployment;
    const counts = this.simulated.members.map((member) => member.service.gate.counts());
    const totals = new Map([...workersByPool.keys()].map((poolId) => [poolId, new Map<string, TeamLoad>()]));
    const runningByTeam = new Map<string, number>();
    for (const [poolId, teams] of counts.flatMap((pools) => [...pools])) {
      const pool = totals.get(poolId);
      for (const [teamId, { running, waiting }] of teams) {
        const subtotal = pool?.get(teamId) ?? { running: 0, waiting: 0, runningInOtherPools: 0 };
        pool?.set(teamId, {
          ...subtotal,
          running: subtotal.running + running,
          waiting: subtotal.waiting + waiting,
        });
        runningByTeam.set(teamId, (runningByTeam.get(teamId) ?? 0) + running);
      }
    }
    for (const [teamId, running] of runningByTeam) {
      this.limitExceeded = Math.max(this.limitExceeded, running - (this.upperLimits.get(teamId) ?? 0));
    }
    for (const [poolId, teams] of totals) {
      const slots = (workersByPool.get(poolId) ?? 0) * slotsPerWorker;
      const running = [...teams.values()].reduce((sum, load) => sum + load.running, 0);
      this.slotsExceeded = Math.max(this.slotsExceeded, running - slots);
      const loads = [...teams].map(
        ([teamId, load]) =>
          [
            teamId,
            { ...load, runningInOtherPools: (runningByTeam.get(teamId) ?? 0) - load.running },
          ] as const,
      );
      this.meter.sample(nowMs, poolId, slots, new Map(loads));
    }
  }

  private buildResult(): SimulationResult {
    const elapsedS = this.simulated.clock.monotonicMs() / 1_000;
    const sum = (valueOf: (member: FakeDeployment['members'][number]) => number): number =>
      this.simulated.members.reduce((total, member) => total + valueOf(member), 0);
    return {
      requests: this.requests,
      started: this.started,
      refused: Object.fromEntries(this.rejectionCounts),
      waits: {
        urgent: summarizeWaits(this.waits.urgent),
        normal: summarizeWaits(this.waits.normal),
        batch: summarizeWaits(this.waits.batch),
      },
      shortfall: this.meter.shortfall(),
      utilization: this.meter.utilization(),
      slotsExceeded: this.slotsExceeded,
      limitExceeded: this.limitExceeded,
      tableReadsPerS: sum(({ table }) => table.calls.reads) / elapsedS,
      tableWritesPerS: sum(({ table }) => table.calls.writes) / elapsedS,
      exchangeBytesPerMemberPerS:
        sum(({ exchange }) => exchange.sentBytes()) / elapsedS / this.simulated.members.length,
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

function summarizeWaits(histogram: Histogram): WaitTimes {
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}
