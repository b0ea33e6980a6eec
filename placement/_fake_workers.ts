/** Workers in memory that keep the rules of fencing, leases and numbered ends. */
import type { Clock } from '../kernel/clock';
import type { TaskId } from '../scheduling/job_definition';
import type { WorkerEntry } from '../scheduling/worker_entry';
import {
  WorkerGateway,
  WorkerNotReachedError,
  WorkerOutcomeUnknownError,
  type EndedTask,
  type EndKind,
  type LeaseOrder,
  type LeaseReply,
  type PaceOrder,
  type Rejection,
  type RunOrder,
  type StartOrder,
  type WorkerAddress,
  type WorkerReply,
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
  readonly paces: number[] = [];
  ends: readonly EndedTask[] = [];
  acknowledged = 0;
  fence = 0;
  leaseUntilMs = 0;
  isReachable = true;
  /** Answers to starts are lost; the order is carried out if `true` is set for it. */
  loseStarts: 'none' | 'done' | 'not_done' = 'none';
  private readonly highestRun = new Map<string, number>();

  constructor(
    readonly entry: WorkerEntry,
    private readonly clock: Clock,
  ) {}

  nowMs(): number {
    return this.clock.monotonicMs();
  }

  start(order: StartOrder): WorkerReply {
    this.lapse();
    const rejected = this.check(order);
    if (rejected !== null) return this.reply(rejected);
    if (order.untilMs <= this.nowMs()) return this.reply('expired');
    const name = taskName(order.task);
    if (this.runs.has(runKey(order))) return this.reply(null);
    if (order.run <= (this.highestRun.get(name) ?? 0)) return this.reply('superseded');
    this.extend(order.untilMs);
    this.runs.set(runKey(order), { task: order.task, run: order.run, checkpoint: order.checkpoint });
    this.starts.push(`${name}#${order.run}`);
    return this.reply(null);
  }

  stop(order: RunOrder): WorkerReply {
    this.lapse();
    const rejected = this.check(order);
    if (rejected !== null) return this.reply(rejected);
    const name = taskName(order.task);
    this.highestRun.set(name, Math.max(order.run, this.highestRun.get(name) ?? 0));
    if (this.runs.has(runKey(order))) this.finish(order, 'stopped');
    return this.reply(null);
  }

  hold(order: LeaseOrder): LeaseReply {
    this.lapse();
    const rejected = this.check(order);
    if (rejected !== null) return { ...this.reply(rejected), bornMs: null, running: [], ended: [] };
    if (order.untilMs !== null) this.extend(order.untilMs);
    this.acknowledged = Math.max(this.acknowledged, order.acknowledgedEnd);
    return {
      ...this.reply(null),
      bornMs: this.entry.bornMs,
      // At work, and making progress.
      running: [...this.runs.values()].map((run) => ({
        ...run,
        percent: 100 + this.nowMs() / 1_000,
        load: null,
      })),
      ended: this.ends.filter(({ number }) => number > order.acknowledgedEnd),
    };
  }

  /** Ends a run. */
  finish({ task, run }: { readonly task: TaskId; readonly run: number }, kind: EndKind): void {
    this.runs.delete(runKey({ task, run }));
    this.highestRun.set(taskName(task), run);
    this.ends = [...this.ends, { number: this.ends.length + 1, task, run, kind, checkpoint: '' }];
  }

  /** Ends everything that runs. */
  finishAll(kind: EndKind = 'done'): void {
    for (const run of [...this.runs.values()]) this.finish(run, kind);
  }

  private lapse(): void {
    if (this.nowMs() > this.leaseUntilMs) this.finishAll('lapsed');
  }

  private extend(untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.nowMs() + FAKE_LEASE_MS));
  }

  private check({ fencingToken }: { readonly fencingToken: number }): Rejection | null {
    if (fencingToken < this.fence) return 'fenced';
    this.fence = fencingToken;
    return null;
  }

  private reply(rejection: Rejection | null): WorkerReply {
    return { rejection, clockMs: this.nowMs() };
  }
}

/** How often a waiting lease call looks for an end, in milliseconds. */
const POLL_MS = 10;

export class FakeWorkers extends WorkerGateway {
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

  override async start(address: WorkerAddress, order: StartOrder): Promise<WorkerReply> {
    const worker = await this.reach(address);
    if (worker.loseStarts !== 'none') {
      if (worker.loseStarts === 'done') worker.start(order);
      throw new WorkerOutcomeUnknownError('The answer was lost.');
    }
    return worker.start(order);
  }

  override async stop(address: WorkerAddress, order: RunOrder): Promise<WorkerReply> {
    return (await this.reach(address)).stop(order);
  }

  override async pace(address: WorkerAddress, order: PaceOrder): Promise<WorkerReply> {
    const worker = await this.reach(address);
    worker.paces.push(order.percent);
    return { rejection: null, clockMs: worker.nowMs() };
  }

  override async extendLease(address: WorkerAddress, order: LeaseOrder): Promise<LeaseReply> {
    const worker = await this.reach(address);
    const untilMs = this.clock.monotonicMs() + order.waitMs;
    for (;;) {
      const reply = worker.hold(order);
      if (reply.rejection !== null || reply.ended.length > 0 || this.clock.monotonicMs() >= untilMs)
        return reply;
      await this.clock.delay(POLL_MS);
      if (!worker.isReachable) throw new WorkerOutcomeUnknownError('The connection was cut.');
    }
  }

  override forget(): void {
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
