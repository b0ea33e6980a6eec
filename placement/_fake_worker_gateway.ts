/** In-memory workers with fencing, leases and numbered reports of ended runs, and a gateway to them. */
import type { Clock } from '../kernel/clock';
import type { TaskId } from '../scheduling/job_definition';
import type { WorkerEntry } from '../scheduling/worker_entry';
import {
  WorkerGateway,
  WorkerUnreachableError,
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

/** A run on a fake worker. */
export interface FakeRun {
  readonly task: TaskId;
  readonly run: number;
  readonly checkpoint: string;
}

/** How a command fails: rejected, not delivered, or delivered with its response lost. */
export type CommandFault = Rejection | 'unreachable' | 'not_applied' | 'applied';

/** A start or an end on a fake worker, by the clock that all fake workers share. */
export interface FakeRunEvent {
  readonly atMs: number;
  readonly task: TaskId;
  readonly run: number;
  /** `started`, or how the run ended. */
  readonly kind: 'started' | RunOutcome;
  /** Sequence number of an end; 0 for a start. */
  readonly endNumber: number;
}

/** Longest lease that a fake worker grants, in milliseconds. */
export const FAKE_LEASE_MS = 10_000;

export class FakeWorker {
  readonly runs = new Map<string, FakeRun>();
  /** All applied starts in order, as `occurrence.step.index#run`. */
  readonly starts: string[] = [];
  readonly history: FakeRunEvent[] = [];
  /** All speeds that were set, in order, as the job and the speed in percent. */
  readonly speeds: string[] = [];
  /** Load that the worker reports for a run. */
  loadOf: (run: FakeRun) => number | null = () => null;
  endedRuns: readonly EndedRun[] = [];
  /** Whether the entries of running tasks cannot be decoded. */
  hidesRuns = false;
  acknowledgedEndNumber = 0;
  highestToken = 0;
  leaseUntilMs = 0;
  isReachable = true;
  /** Faults of the next stops, first one first. */
  stopFaults: readonly CommandFault[] = [];
  /** Whether the next stop is confirmed without effect. */
  ignoresNextStop = false;
  /** Number of stops that have arrived or failed. */
  stopCount = 0;
  /** The ticket that a start needs; `null` for none. */
  requiredTicket: string | null = null;
  /** Whether the responses to starts are lost, and if so, whether the starts are applied. */
  lostStarts: 'none' | 'applied' | 'not_applied' = 'none';
  private readonly highestRun = new Map<string, number>();
  private readonly beganAtMs: number;

  constructor(
    readonly entry: WorkerEntry,
    private readonly clock: Clock,
  ) {
    this.beganAtMs = clock.monotonicMs();
  }

  /** The worker's clock, which counts from the start of its incarnation. */
  nowMs(): number {
    return this.clock.monotonicMs() - this.beganAtMs;
  }

  hasRun(run: { readonly task: TaskId; readonly run: number }): boolean {
    return this.runs.has(runKey(run));
  }

  hasRunUnderLease(): boolean {
    return this.runs.size > 0 && this.nowMs() <= this.leaseUntilMs;
  }

  start(command: StartCommand): WorkerResponse {
    this.expireLease();
    const rejected = this.checkToken(command);
    if (rejected !== null) return this.respond(rejected);
    if (command.leaseUntilMs <= this.nowMs()) return this.respond('expired');
    const key = taskKey(command.task);
    if (this.runs.has(runKey(command))) return this.respond(null);
    if (command.run <= (this.highestRun.get(jobTaskKey(command.task)) ?? 0))
      return this.respond('superseded');
    if (this.requiredTicket !== null && command.ticket !== this.requiredTicket)
      return this.respond('no_ticket');
    this.extendLease(command.leaseUntilMs);
    this.runs.set(runKey(command), { task: command.task, run: command.run, checkpoint: command.checkpoint });
    this.starts.push(`${key}#${command.run}`);
    this.recordEvent(command, 'started', 0);
    return this.respond(null);
  }

  stop(command: RunCommand): WorkerResponse {
    this.expireLease();
    const rejected = this.checkToken(command);
    if (rejected !== null) return this.respond(rejected);
    if (this.ignoresNextStop) {
      this.ignoresNextStop = false;
      return this.respond(null);
    }
    const key = jobTaskKey(command.task);
    this.highestRun.set(key, Math.max(command.run, this.highestRun.get(key) ?? 0));
    if (this.runs.has(runKey(command))) this.finish(command, 'stopped');
    return this.respond(null);
  }

  renewLease(command: RenewLeaseCommand): LeaseResponse {
    this.expireLease();
    const rejected = this.checkToken(command);
    if (rejected !== null)
      return {
        ...this.respond(rejected),
        unusableEntries: 0,
        workerStartedAtMs: null,
        running: [],
        ended: [],
      };
    if (command.leaseUntilMs !== null) this.extendLease(command.leaseUntilMs);
    this.acknowledgedEndNumber = Math.max(this.acknowledgedEndNumber, command.acknowledgedEndNumber);
    return {
      ...this.respond(null),
      unusableEntries: this.hidesRuns ? 1 : 0,
      workerStartedAtMs: this.entry.startedAtMs,
      // Every run is ready to serve and makes progress.
      running: (this.hidesRuns ? [] : [...this.runs.values()]).map((run) => ({
        ...run,
        progressPercent: 100 + this.nowMs() / 1_000,
        load: this.loadOf(run),
      })),
      ended: this.endedRuns.filter(({ sequenceNumber }) => sequenceNumber > this.acknowledgedEndNumber),
    };
  }

  /** Ends a run with an outcome. */
  finish({ task, run }: { readonly task: TaskId; readonly run: number }, outcome: RunOutcome): void {
    this.runs.delete(runKey({ task, run }));
    this.highestRun.set(jobTaskKey(task), run);
    const sequenceNumber = this.endedRuns.length + 1;
    this.endedRuns = [...this.endedRuns, { sequenceNumber, task, run, outcome, checkpoint: '' }];
    this.recordEvent({ task, run }, outcome, sequenceNumber);
  }

  /** Ends all runs with an outcome. */
  finishAll(outcome: RunOutcome = 'done'): void {
    for (const run of [...this.runs.values()]) this.finish(run, outcome);
  }

  private recordEvent(
    { task, run }: { readonly task: TaskId; readonly run: number },
    kind: FakeRunEvent['kind'],
    endNumber: number,
  ): void {
    this.history.push({ atMs: this.clock.monotonicMs(), task, run, kind, endNumber });
  }

  private expireLease(): void {
    if (this.nowMs() > this.leaseUntilMs) this.finishAll('lapsed');
  }

  private extendLease(untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.nowMs() + FAKE_LEASE_MS));
  }

  private checkToken({ fencingToken }: { readonly fencingToken: number }): Rejection | null {
    if (fencingToken < this.highestToken) return 'fenced';
    this.highestToken = fencingToken;
    return null;
  }

  private respond(rejection: Rejection | null): WorkerResponse {
    return { rejection, clockMs: this.nowMs() };
  }
}

/** Interval at which a waiting lease call checks for ended runs, in milliseconds. */
const POLL_MS = 10;

export class FakeWorkerGateway extends WorkerGateway {
  readonly workers = new Map<string, FakeWorker>();
  /** Number of incarnations that were started, by worker. */
  private readonly startCounts = new Map<string, number>();
  /** Called after each applied start. */
  afterStart: (worker: FakeWorker, command: StartCommand) => void = () => undefined;

  /** All incarnations of all workers, in order of their starts. */
  readonly incarnations: FakeWorker[] = [];
  /** Time that a message takes in each direction, in milliseconds. A restart loses those on their way. */
  latencyMs = 0;
  /** Number of lease calls that are still to be lost before they arrive. */
  loseLeaseCalls = 0;

  constructor(private readonly clock: Clock) {
    super();
  }

  add(entry: WorkerEntry): FakeWorker {
    const worker = new FakeWorker(entry, this.clock);
    this.startCounts.set(entry.workerId, (this.startCounts.get(entry.workerId) ?? 0) + 1);
    this.workers.set(entry.workerId, worker);
    this.incarnations.push(worker);
    return worker;
  }

  all(): readonly FakeWorker[] {
    return [...this.workers.values()];
  }

  override async start(address: WorkerAddress, command: StartCommand): Promise<WorkerResponse> {
    const worker = await this.deliver(address);
    if (worker.lostStarts !== 'none') {
      if (worker.lostStarts === 'applied' && worker.start(command).rejection === null)
        this.afterStart(worker, command);
      throw new WorkerOutcomeUnknownError('The response was lost.');
    }
    const response = worker.start(command);
    if (response.rejection === null) this.afterStart(worker, command);
    await this.deliverResponse(worker);
    return response;
  }

  override async stop(address: WorkerAddress, command: RunCommand): Promise<WorkerResponse> {
    const worker = await this.deliver(address);
    worker.stopCount += 1;
    const [fault, ...later] = worker.stopFaults;
    worker.stopFaults = later;
    if (fault === undefined) {
      const response = worker.stop(command);
      await this.deliverResponse(worker);
      return response;
    }
    if (fault === 'unreachable') throw new WorkerUnreachableError('The connection was refused.');
    if (fault === 'applied') worker.stop(command);
    if (fault === 'applied' || fault === 'not_applied')
      throw new WorkerOutcomeUnknownError('No response arrived.');
    return { rejection: fault, clockMs: worker.nowMs() };
  }

  override async throttle(address: WorkerAddress, command: ThrottleCommand): Promise<WorkerResponse> {
    const worker = await this.findReachable(address);
    worker.speeds.push(`${command.task.jobId} ${command.speedPercent}`);
    return { rejection: null, clockMs: worker.nowMs() };
  }

  override async renewLease(address: WorkerAddress, command: RenewLeaseCommand): Promise<LeaseResponse> {
    const worker = await this.deliver(address);
    if (this.loseLeaseCalls > 0) {
      this.loseLeaseCalls -= 1;
      throw new WorkerOutcomeUnknownError('The call was lost.');
    }
    const untilMs = this.clock.monotonicMs() + command.waitMs;
    for (;;) {
      const response = worker.renewLease(command);
      if (response.rejection !== null || response.ended.length > 0 || this.clock.monotonicMs() >= untilMs) {
        await this.deliverResponse(worker);
        return response;
      }
      await this.clock.delay(POLL_MS);
      if (!worker.isReachable) throw new WorkerOutcomeUnknownError('The connection was cut.');
    }
  }

  override connectionChanges({ workerId }: WorkerAddress): number {
    return this.startCounts.get(workerId) ?? 0;
  }

  override disconnect(): void {
    // There are no connections to close.
  }

  /** Resolves when a command reaches the worker. */
  private async deliver(address: WorkerAddress): Promise<FakeWorker> {
    const worker = await this.findReachable(address);
    if (this.latencyMs > 0) await this.travel(worker);
    return worker;
  }

  /** Resolves when a response has arrived. */
  private async deliverResponse(worker: FakeWorker): Promise<void> {
    if (this.latencyMs > 0) await this.travel(worker);
  }

  private async travel(worker: FakeWorker): Promise<void> {
    await this.clock.delay(this.latencyMs);
    if (!worker.isReachable) throw new WorkerOutcomeUnknownError('The connection was cut.');
  }

  private async findReachable({ workerId }: WorkerAddress): Promise<FakeWorker> {
    await Promise.resolve();
    const worker = this.workers.get(workerId);
    if (worker?.isReachable !== true) throw new WorkerUnreachableError('The worker is unreachable.');
    return worker;
  }
}

function taskKey({ occurrence, step, index }: TaskId): string {
  return `${occurrence}.${step}.${index}`;
}

function jobTaskKey(task: TaskId): string {
  return `${task.jobId}.${taskKey(task)}`;
}
