/** Plays a load on one pool, in the order of the planner, with and without admission control. */
import { NO_RESOURCES, type Resources } from '../model/resources';
import type { QueueRule } from '../scheduling/fleet_rules';
import type { JobDefinition, StepDefinition } from '../scheduling/job_definition';
import { SlackOrder, USEFUL_TIME_FACTOR } from '../scheduling/queue_order';
import { VirtualClock } from '../kernel/virtual_clock';
import { QUEUE, STEP } from '../placement/_placement_harness';
import { totalWork } from '../placement/run_time_estimator';
import { OpenAdmission, ShortageAdmission, type AdmissionControl } from './admission_control';
import { groupArrivals } from './arrival_groups';
import { groupBacklog, type WaitingWork } from './backlog_groups';
import { CurrentView } from './current_view';
import type { ArrivalGroup } from './pool_pressure';
import { OverShareHistory } from './over_share_history';
import { decodePressureView, encodePressureView } from './pressure_rows';

export interface PlayedJob {
  readonly jobId: string;
  readonly teamId: string;
  readonly atMs: number;
  readonly taskCount: number;
  readonly runTimeMs: number;
}

export interface PlayedLoad {
  readonly jobs: readonly PlayedJob[];
  /** Processors of the pool at a time, with those that are on the way. */
  readonly processors: (nowMs: number) => number;
  readonly isOn: boolean;
  readonly queue?: QueueRule;
  /** Accounts that use more than their shares, from the processors that each uses. */
  readonly overShare?: (used: ReadonlyMap<string, number>) => ReadonlySet<string>;
}

export type PlayedEnd = 'in_time' | 'late' | 'useless' | 'rejected';

export interface PlayedResult {
  readonly ends: ReadonlyMap<string, PlayedEnd>;
  /** Ids of jobs that were rejected at least once, with the times of the rejections. */
  readonly rejections: ReadonlyMap<string, readonly number[]>;
  /** Times at which rejected jobs were submitted again. */
  readonly returns: readonly number[];
  /** Promised times, in order of the first rejections. */
  readonly promises: readonly number[];
}

const PROCESS_COUNT = 3;
const STEP_MS = 10;
const PUBLISH_INTERVAL_MS = 750;
const MAX_ATTEMPTS = 4;
const ARRIVAL_WINDOW_MS = 2_000;

interface Accepted {
  readonly job: PlayedJob;
  readonly acceptedAtMs: number;
  readonly arrivalNumber: number;
  waiting: number;
  open: number;
}

const ONE_PROCESSOR: Resources = { processors: 1, memoryBytes: 0, accelerators: 0 };

function definitionOf({ taskCount, runTimeMs }: PlayedJob): JobDefinition {
  const step: StepDefinition = { ...STEP, demand: ONE_PROCESSOR, taskCount, estimateMs: runTimeMs };
  return { spec: '', steps: [step], repeat: null };
}

function targetMsOf({ runTimeMs }: PlayedJob, queue: QueueRule): number {
  return queue.stretch * runTimeMs + queue.targetLatencyMs;
}

/** Seeded numbers between 0 and 1. */
function randomNumbers(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Jobs whose work keeps the given number of processors busy on average. */
export function arrivals(
  fromMs: number,
  toMs: number,
  processors: number,
  { teamId = 't', seed = 1 }: { readonly teamId?: string; readonly seed?: number } = {},
): readonly PlayedJob[] {
  const random = randomNumbers(seed + fromMs);
  const jobs: PlayedJob[] = [];
  const meanWork = 2.5 * 500;
  for (let atMs = fromMs; atMs < toMs; atMs += (-Math.log(1 - random()) * meanWork) / processors) {
    const taskCount = 1 + Math.floor(random() * 4);
    const runTimeMs = 200 + Math.floor(random() * 600);
    jobs.push({ jobId: `${teamId}-${fromMs}-${jobs.length}`, teamId, atMs, taskCount, runTimeMs });
  }
  return jobs;
}

/** Plays the load until every job has ended. */
export class LoadPlayer {
  private readonly clock = new VirtualClock();
  private readonly views = Array.from({ length: PROCESS_COUNT }, () => new CurrentView());
  private readonly processes: readonly AdmissionControl[];
  private readonly queue: QueueRule;
  private readonly random = randomNumbers(7);
  private readonly accepted = new Set<Accepted>();
  private readonly running: { readonly accepted: Accepted; readonly endsAtMs: number }[] = [];
  private readonly ends = new Map<string, PlayedEnd>();
  private readonly rejections = new Map<string, readonly number[]>();
  private readonly returns: number[] = [];
  private readonly promises: number[] = [];
  private submissions: { readonly job: PlayedJob; readonly atMs: number; readonly attempt: number }[];
  private shortSinceMs: number | null = null;
  private viewNumber = 0;
  private readonly overShareHistory = new OverShareHistory();
  private arrivalNumber = 0;
  private readonly arrived: { readonly job: PlayedJob; readonly atMs: number }[] = [];

  constructor(private readonly load: PlayedLoad) {
    this.queue = load.queue ?? QUEUE;
    const { clock } = this;
    this.processes = this.views.map((current) =>
      load.isOn
        ? new ShortageAdmission({
            clock,
            current,
            waitPercent: 110,
            maxRetryAfterS: 30,
          })
        : new OpenAdmission(),
    );
    this.submissions = load.jobs.map((job) => ({ job, atMs: job.atMs, attempt: 1 }));
  }

  play(): PlayedResult {
    for (let nowMs = 0; this.ends.size < this.load.jobs.length; nowMs += STEP_MS) {
      this.submitDue(nowMs);
      this.endDue(nowMs);
      this.plan(nowMs);
      if (nowMs % PUBLISH_INTERVAL_MS < STEP_MS) this.publish(nowMs);
      this.clock.advance(STEP_MS);
    }
    const { ends, rejections, returns, promises } = this;
    return { ends, rejections, returns, promises };
  }

  private submitDue(nowMs: number): void {
    const due = this.submissions.filter(({ atMs }) => atMs <= nowMs);
    this.submissions = this.submissions.filter(({ atMs }) => atMs > nowMs);
    for (const { job, attempt } of due) this.submit(job, attempt, nowMs);
  }

  private submit(job: PlayedJob, attempt: number, nowMs: number): void {
    if (attempt > 1) this.returns.push(nowMs);
    const admission = this.processes[Math.floor(this.random() * PROCESS_COUNT)];
    const submitted = { ...job, queue: this.queue, definition: definitionOf(job) };
    const verdict = admission?.review(submitted);
    if (admission === undefined || verdict?.kind !== 'reject') {
      this.arrivalNumber += 1;
      const { taskCount: waiting, taskCount: open } = job;
      this.arrived.push({ job, atMs: nowMs });
      this.accepted.add({ job, acceptedAtMs: nowMs, arrivalNumber: this.arrivalNumber, waiting, open });
      return;
    }
    this.rejections.set(job.jobId, [...(this.rejections.get(job.jobId) ?? []), nowMs]);
    const retryAfterMs = admission.promiseReturn(submitted, verdict) * 1_000;
    if (attempt === 1) this.promises.push(nowMs + retryAfterMs);
    if (attempt === MAX_ATTEMPTS) this.ends.set(job.jobId, 'rejected');
    else this.submissions.push({ job, atMs: nowMs + retryAfterMs, attempt: attempt + 1 });
  }

  private endDue(nowMs: number): void {
    for (const run of this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs)) {
      this.running.splice(this.running.indexOf(run), 1);
      const { accepted } = run;
      accepted.open -= 1;
      if (accepted.open > 0) continue;
      this.accepted.delete(accepted);
      const tookMs = nowMs - accepted.acceptedAtMs;
      const targetMs = targetMsOf(accepted.job, this.queue);
      const end =
        tookMs <= targetMs ? 'in_time' : tookMs <= USEFUL_TIME_FACTOR * targetMs ? 'late' : 'useless';
      this.ends.set(accepted.job.jobId, end);
    }
  }

  private plan(nowMs: number): void {
    let free = Math.floor(this.load.processors(nowMs)) - this.running.length;
    for (const { accepted } of new SlackOrder().sort(this.waitingSteps(nowMs)))
      for (; free > 0 && accepted.waiting > 0; free -= 1) {
        accepted.waiting -= 1;
        this.running.push({ accepted, endsAtMs: nowMs + accepted.job.runTimeMs });
      }
    const isShort = [...this.accepted].some(({ waiting }) => waiting > 0);
    this.shortSinceMs = isShort ? (this.shortSinceMs ?? nowMs) : null;
  }

  private waitingSteps(nowMs: number): readonly (WaitingWork & { readonly accepted: Accepted })[] {
    const waiting = [...this.accepted].filter((accepted) => accepted.waiting > 0);
    const works = waiting.map(({ job }) => totalWork(definitionOf(job), () => true));
    const meanWork = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
    const overShare = this.overShare();
    return waiting.map((accepted, index) => {
      const { job, acceptedAtMs, arrivalNumber } = accepted;
      const targetMs = targetMsOf(job, this.queue);
      const slackMs = acceptedAtMs + targetMs - nowMs - job.runTimeMs;
      return {
        accepted,
        stepKey: job.jobId,
        teamId: job.teamId,
        priority: this.queue.priority,
        isLongRunning: false,
        isFiller: false,
        slackMs,
        usefulSlackMs: slackMs + (USEFUL_TIME_FACTOR - 1) * targetMs,
        valuePerStart: (0.43 * meanWork + (works[index] ?? 0)) / accepted.waiting,
        isOverShare: overShare.has(job.teamId),
        arrivalNumber,
        demand: ONE_PROCESSOR,
        waitingTasks: accepted.waiting,
        runTimeMs: job.runTimeMs,
      };
    });
  }

  private overShare(): ReadonlySet<string> {
    const used = new Map<string, number>();
    for (const { accepted } of this.running)
      used.set(accepted.job.teamId, (used.get(accepted.job.teamId) ?? 0) + 1);
    return this.load.overShare?.(used) ?? new Set();
  }

  private arrivals(nowMs: number, capacity: Resources, meanWork: number): readonly ArrivalGroup[] {
    const overShare = this.overShare();
    const arrived = this.arrived
      .filter(({ atMs }) => nowMs - atMs < ARRIVAL_WINDOW_MS)
      .map(({ job: { teamId, taskCount, runTimeMs }, atMs }) => ({
        atMs,
        teamId,
        priority: this.queue.priority,
        isOverShare: overShare.has(teamId),
        valuePerStart: (0.43 * meanWork) / taskCount + runTimeMs,
        work: { ...NO_RESOURCES, processors: taskCount * runTimeMs },
      }));
    return groupArrivals(arrived, {
      resource: 'processors',
      capacity,
      windowMs: ARRIVAL_WINDOW_MS,
      teamLimits: new Map(),
    });
  }

  private publish(nowMs: number): void {
    const work = this.waitingSteps(nowMs);
    const capacity = { ...NO_RESOURCES, processors: this.load.processors(nowMs) };
    this.viewNumber += 1;
    const meanWork = work.reduce((sum, step) => sum + step.runTimeMs * step.accepted.job.taskCount, 0);
    const view = {
      epoch: 1,
      number: this.viewNumber,
      seconds: nowMs / 1_000,
      processCount: PROCESS_COUNT,
      overShareTeamIds: this.overShareHistory.record(this.overShare()),
      queues: [
        { queueId: this.queue.queueId, runTimeFactor: 1, meanWork: meanWork / Math.max(1, work.length) },
      ],
      pools:
        this.shortSinceMs === null
          ? []
          : [
              {
                poolId: this.queue.poolId,
                shortForMs: nowMs - this.shortSinceMs,
                startsPerMs: null,
                capacity,
                unplacedDemands: [ONE_PROCESSOR],
                backlog: groupBacklog(work, { capacity, teamLimits: new Map() }),
                arrivals: this.arrivals(nowMs, capacity, meanWork / Math.max(1, work.length)),
              },
            ],
    };
    const received = decodePressureView(encodePressureView(view));
    for (const current of this.views) current.receive(received, { nowMs, isSnapshot: false });
  }
}

/** Number of jobs by how they ended. */
export function countEnds(
  { ends }: PlayedResult,
  isCounted: (jobId: string) => boolean = () => true,
): Readonly<Record<PlayedEnd, number>> {
  const counts = { in_time: 0, late: 0, useless: 0, rejected: 0 };
  for (const [jobId, end] of ends) if (isCounted(jobId)) counts[end] += 1;
  return counts;
}
