/** Workers in memory that keep the rules of fencing, leases and numbered ends. */
import type { Clock } from '../kernel/clock';
import type { TaskId } from '../scheduling/job_definition';
import type { WorkerEntry } from '../scheduling/worker_entry';
import {
  WorkerGateway,
  WorkerNotReachedError,
  WorkerOutcomeUnknownError,
  type EndedRun,
  type RunOutcome,
  type RenewLeaseCommand,
  type LeaseResponse,
  type ThrottleCommand,
  type Rejection,
  type RunCommand,
  type StartCommand,
  type WorkerAddress,
  type WorkerResponse,
} from '../scheduling/worker_gateway';
import { runKey } from './session_run';

/** One task at work. */
export interface FakeRun {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
}

/** Longest lease that a fake worker grants, in milliseconds. */
export const FAKE_LEASE_MS = 10_000;

export class FakeWorker {
  readonly runs = new Map<string, FakeRun>();
  /** Every start in order, as `occurrence.step.index#run`. */
  readonly starts: string[] = [];
  /** Every pace in order, in percent. */
  readonly speeds: number[] = [];
  endedRuns: readonly EndedRun[] = [];
  acknowledged = 0;
  highestToken = 0;
  leaseUntilMs = 0;
  isReachable = true;
  /** Answers to starts are lost; the order is carried out if `true` is set for it. */
  lostStarts: 'none' | 'done' | 'not_done' = 'none';
  private readonly highestRun = new Map<string, number>();

  constructor(
    readonly entry: WorkerEntry,
    private readonly clock: Clock,
  ) {}

  nowMs(): number {
    return this.clock.monotonicMs();
  }

  start(order: StartCommand): WorkerResponse {
    this.expireLease();
    const rejected = this.check(order);
    if (rejected !== null) return this.reply(rejected);
    if (order.leaseUntilMs <= this.nowMs()) return this.reply('expired');
    const name = taskName(order.task);
    if (this.runs.has(runKey(order))) return this.reply(null);
    if (order.run <= (this.highestRun.get(name) ?? 0)) return this.reply('superseded');
    this.extend(order.leaseUntilMs);
    this.runs.set(runKey(order), { task: order.task, run: order.run, checkpoint: order.checkpoint });
    this.starts.push(`${name}#${order.run}`);
    return this.reply(null);
  }

  stop(order: RunCommand): WorkerResponse {
    this.expireLease();
    const rejected = this.check(order);
    if (rejected !== null) return this.reply(rejected);
    const name = taskName(order.task);
    this.highestRun.set(name, Math.max(order.run, this.highestRun.get(name) ?? 0));
    if (this.runs.has(runKey(order))) this.finish(order, 'stopped');
    return this.reply(null);
  }

  renewLease(order: RenewLeaseCommand): LeaseResponse {
    this.expireLease();
    const rejected = this.check(order);
    if (rejected !== null)
      return { ...this.reply(rejected), workerStartedAtMs: null, running: [], ended: [] };
    if (order.leaseUntilMs !== null) this.extend(order.leaseUntilMs);
    this.acknowledged = Math.max(this.acknowledged, order.acknowledgedEndNumber);
    return {
      ...this.reply(null),
      workerStartedAtMs: this.entry.startedAtMs,
      // At work, and making progress.
      running: [...this.runs.values()].map((run) => ({
        ...run,
        progressPercent: 100 + this.nowMs() / 1_000,
        load: null,
      })),
      ended: this.endedRuns.filter(({ number }) => number > order.acknowledgedEndNumber),
    };
  }

  /** Ends a run. */
  finish({ task, run }: { readonly task: TaskId; readonly run: number }, outcome: RunOutcome): void {
    this.runs.delete(runKey({ task, run }));
    this.highestRun.set(taskName(task), run);
    this.endedRuns = [
      ...this.endedRuns,
      { number: this.endedRuns.length + 1, task, run, outcome, checkpoint: '' },
    ];
  }

  /** Ends everything that runs. */
  finishAll(outcome: RunOutcome = 'done'): void {
    for (const run of [...this.runs.values()]) this.finish(run, outcome);
  }

  private expireLease(): void {
    if (this.nowMs() > this.leaseUntilMs) this.finishAll('lapsed');
  }

  private extend(untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.nowMs() + FAKE_LEASE_MS));
  }

  private check({ fencingToken }: { readonly fencingToken: number }): Rejection | null {
    if (fencingToken < this.highestToken) return 'fenced';
    this.highestToken = fencingToken;
    return null;
  }

  private reply(rejection: Rejection | null): WorkerResponse {
    return { rejection, clockMs: this.nowMs() };
  }
}

/** How often a waiting lease call looks for an end, in milliseconds. */
const POLL_MS = 10;

export class FakeWorkerGateway extends WorkerGateway {
  readonly workers = new Map<string, FakeWorker>();

  constructor(private readonly clock: Clock) {
    super();
  }

  add(entry: WorkerEntry): FakeWorker {
    const worker = new FakeWorker(entry, this.clock);
    this.workers.set(entry.workerId, worker);
    return worker;
  }

  all(): readonly FakeWorker[] {
    return [...this.workers.values()];
  }

  override async start(address: WorkerAddress, order: StartCommand): Promise<WorkerResponse> {
    const worker = await this.reach(address);
    if (worker.lostStarts !== 'none') {
      if (worker.lostStarts === 'done') worker.start(order);
      throw new WorkerOutcomeUnknownError('The answer was lost.');
    }
    return worker.start(order);
  }

  override async stop(address: WorkerAddress, order: RunCommand): Promise<WorkerResponse> {
    return (await this.reach(address)).stop(order);
  }

  override async throttle(address: WorkerAddress, order: ThrottleCommand): Promise<WorkerResponse> {
    const worker = await this.reach(address);
    worker.speeds.push(order.speedPercent);
    return { rejection: null, clockMs: worker.nowMs() };
  }

  override async renewLease(address: WorkerAddress, order: RenewLeaseCommand): Promise<LeaseResponse> {
    const worker = await this.reach(address);
    const untilMs = this.clock.monotonicMs() + order.waitMs;
    for (;;) {
      const reply = worker.renewLease(order);
      if (reply.rejection !== null || reply.ended.length > 0 || this.clock.monotonicMs() >= untilMs)
        return reply;
      await this.clock.delay(POLL_MS);
      if (!worker.isReachable) throw new WorkerOutcomeUnknownError('The connection was cut.');
    }
  }

  override disconnect(): void {
    // Nothing is kept per connection.
  }

  private async reach({ workerId }: WorkerAddress): Promise<FakeWorker> {
    await Promise.resolve();
    const worker = this.workers.get(workerId);
    if (worker?.isReachable !== true) throw new WorkerNotReachedError('The worker is not reachable.');
    return worker;
  }
}

function taskName({ occurrence, step, index }: TaskId): string {
  return `${occurrence}.${step}.${index}`;
}
