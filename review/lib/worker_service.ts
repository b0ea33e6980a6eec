/** Stand-in for a worker, which may crash and start again under its id and at its address. */
import type { RowWrite } from '../../store/row_store';
import { HttpService, pause, type Fields, type ServiceCall, type ServiceReply } from './http_service';
import { WIRE } from './wire_names';

/** Interval at which a worker writes its entry, in milliseconds (`heartbeat-ms`). */
export const HEARTBEAT_MS = 1_500;
/** Longest lease, in milliseconds (`hold-max-ms`). */
const MAX_HOLD_MS = 10_000;
/** An entry is removed after so many intervals without one. */
const EXPIRY_HEARTBEATS = 3;
const BEFORE_BEAT_MS = 100;
const MAX_WAIT_MS = 2_000;
const MAX_LISTED_ENDS = 500;

export type RunEnd = 'done' | 'stopped' | 'lapsed' | 'crashed';

/** One run of a task, as its worker saw it; times are on the driver's monotonic clock. */
export interface ObservedRun {
  readonly task: string;
  readonly run: number;
  readonly workerId: string;
  readonly born: number;
  readonly token: number;
  readonly startedAtMs: number;
  endedAtMs: number | null;
  end: RunEnd | null;
}

export interface WorkerServiceOptions {
  readonly workerId: string;
  readonly pool: string;
  readonly machine: string;
  readonly zone: string;
  readonly rack: string;
  readonly cpu: number;
  readonly memMb: number;
  /** How long a task runs, in milliseconds; `null` until it is stopped. */
  readonly runTimeMs: (task: string, spec: string) => number | null;
  readonly writeEntry: (row: RowWrite) => void;
  readonly record: (line: string) => void;
  readonly onStarted?: (run: ObservedRun) => void;
}

interface ActiveRun {
  readonly observed: ObservedRun;
  readonly durationMs: number | null;
  readonly timer: NodeJS.Timeout | null;
}

/** What one life of the worker knows. */
interface Life {
  readonly born: number;
  readonly beganAtMs: number;
  readonly active: Map<string, ActiveRun>;
  readonly closed: Map<string, number>;
  ends: readonly (readonly [number, string, number, string, string])[];
  lastEnd: number;
  token: number;
  leaseUntilMs: number;
  leaseTimer: NodeJS.Timeout | null;
}

/**
 * Starts whatever it is told to start (`admission-check` false), holds a lease for
 * everything that runs and keeps the highest fencing token.
 *
 * @example
 * ```ts
 * const worker = new WorkerService(options);
 * await worker.begin();
 * worker.crash();
 * await worker.begin(); // the next life, under the same id
 * ```
 */
export class WorkerService {
  readonly service = new HttpService((call) => this.answer(call));
  /** All runs of all lives, in order of their starts. */
  readonly observed: ObservedRun[] = [];
  private life: Life | null = null;
  private heartbeat: NodeJS.Timeout | null = null;
  private sequence = 0;
  private isStoreCut = false;
  private greyShare = 0;
  private greyCount = 0;
  private lastBeatAtMs = 0;
  private expiry: NodeJS.Timeout | null = null;
  private waiters: (() => void)[] = [];

  constructor(readonly options: WorkerServiceOptions) {}

  get activeCount(): number {
    return this.life?.active.size ?? 0;
  }

  isUp(): boolean {
    return this.life !== null;
  }

  /**
   * Begins a life: the worker answers, and writes its entry with each heartbeat, first after
   * `firstEntryMs`.
   */
  async begin(firstEntryMs = 0): Promise<void> {
    await this.service.listen();
    this.life = {
      born: Date.now(),
      beganAtMs: performance.now(),
      active: new Map(),
      closed: new Map(),
      ends: [],
      lastEnd: 0,
      token: 0,
      leaseUntilMs: 0,
      leaseTimer: null,
    };
    this.sequence = 0;
    this.options.record(`worker ${this.options.workerId} is up, born ${this.life.born}`);
    const beat = (): void => {
      this.writeEntry();
      this.heartbeat = setTimeout(beat, HEARTBEAT_MS);
    };
    if (firstEntryMs === 0) beat();
    else this.heartbeat = setTimeout(beat, firstEntryMs);
  }

  /** Ends the life as a crash does: all connections break, and nothing that ran goes on. */
  crash(): void {
    const { life } = this;
    if (this.expiry !== null) clearTimeout(this.expiry);
    if (life === null) return;
    this.options.record(`worker ${this.options.workerId} crashes with ${life.active.size} runs`);
    this.life = null;
    if (this.heartbeat !== null) clearTimeout(this.heartbeat);
    if (life.leaseTimer !== null) clearTimeout(life.leaseTimer);
    for (const { observed, timer } of life.active.values()) {
      if (timer !== null) clearTimeout(timer);
      observed.endedAtMs = performance.now();
      observed.end = 'crashed';
    }
    this.service.stop();
  }

  /**
   * Cuts the worker off from the store, or ends that; it works on and answers calls. Its entry is
   * removed after three heartbeat intervals of silence, and is back with the next heartbeat that arrives.
   */
  setStoreCut(isCut: boolean): void {
    this.isStoreCut = isCut;
    this.options.record(`worker ${this.options.workerId} ${isCut ? 'is cut off from' : 'reaches'} the store`);
    if (this.expiry !== null) clearTimeout(this.expiry);
    if (!isCut) return;
    this.expiry = setTimeout(
      () => {
        this.removeEntry();
      },
      EXPIRY_HEARTBEATS * HEARTBEAT_MS - (performance.now() - this.lastBeatAtMs),
    );
  }

  /** From now on the worker answers this share of its calls with 503, and does nothing for them. */
  setGrey(share: number): void {
    this.greyShare = share;
    this.options.record(`worker ${this.options.workerId} rejects ${share * 100} % of its calls`);
  }

  /** Spreads the rejected calls evenly. */
  private rejectsNext(): boolean {
    const before = Math.floor(this.greyCount * this.greyShare);
    this.greyCount += 1;
    return Math.floor(this.greyCount * this.greyShare) > before;
  }

  /** Resolves shortly before the next heartbeat. */
  async awaitOldEntry(): Promise<void> {
    await pause(this.lastBeatAtMs + HEARTBEAT_MS - BEFORE_BEAT_MS - performance.now());
  }

  private removeEntry(): void {
    this.options.record(`the entry of worker ${this.options.workerId} is removed`);
    this.options.writeEntry({ table: 'servers', partition: '', key: this.options.workerId, value: null });
  }

  private writeEntry(): void {
    if (this.life === null || this.isStoreCut) return;
    this.lastBeatAtMs = performance.now();
    const { workerId, pool, machine, zone, rack, cpu, memMb } = this.options;
    this.sequence += 1;
    if (this.sequence === 1) this.options.record(`worker ${workerId} writes its first entry`);
    const value = JSON.stringify({
      service: pool,
      address: this.service.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-left-ms': 0,
      seq: this.sequence,
      born: this.life.born,
      capacity: { cpu, [WIRE.memMb]: memMb },
      labels: ['a', rack],
      machine,
    });
    this.options.writeEntry({ table: 'servers', partition: '', key: workerId, value });
  }

  private async answer(call: ServiceCall): Promise<ServiceReply> {
    const { life } = this;
    if (this.greyShare > 0 && this.rejectsNext()) {
      this.options.record(`worker ${this.options.workerId} answers ${call.path} with 503`);
      return { status: 503, body: {} };
    }
    if (life === null || call.headers['expect-instance'] !== this.options.workerId)
      return { status: 421, body: {} };
    const token = Number(call.body[WIRE.fenceToken] ?? 0);
    if (token < life.token) return this.refuse(life, 'fence');
    life.token = token;
    if (call.path === WIRE.runStart) return this.start(life, call.body, token);
    if (call.path === WIRE.runStop) return this.stop(life, call.body);
    if (call.path === '/-/hold') return this.hold(life, call.body);
    if (call.path === '/-/pace') return this.accept(life);
    return { status: 404, body: {} };
  }

  private clockMs(life: Life): number {
    return Math.floor(performance.now() - life.beganAtMs);
  }

  private accept(life: Life): ServiceReply {
    return { status: 200, body: { 'clock-ms': this.clockMs(life) } };
  }

  private refuse(life: Life, reason: string): ServiceReply {
    return { status: 409, body: { 'clock-ms': this.clockMs(life), reason } };
  }

  private start(life: Life, body: Fields, token: number): ServiceReply {
    const task = String(body.task);
    const run = Number(body['run-id']);
    this.extendLease(life, Number(body['until-ms']));
    const existing = life.active.get(task);
    if (existing?.observed.run === run) return this.accept(life);
    if (existing !== undefined || run <= (life.closed.get(task) ?? 0)) return this.refuse(life, 'old');
    if (life.leaseUntilMs <= this.clockMs(life)) return this.refuse(life, 'late');
    const durationMs = this.options.runTimeMs(task, String(body.spec));
    const observed: ObservedRun = {
      task,
      run,
      workerId: this.options.workerId,
      born: life.born,
      token,
      startedAtMs: performance.now(),
      endedAtMs: null,
      end: null,
    };
    this.observed.push(observed);
    this.options.record(
      `start ${task} run ${run} on ${this.options.workerId} born ${life.born} token ${token}`,
    );
    const timer =
      durationMs === null
        ? null
        : setTimeout(() => {
            this.end(life, task, 'done');
          }, durationMs);
    life.active.set(task, { observed, durationMs, timer });
    this.options.onStarted?.(observed);
    return this.accept(life);
  }

  private stop(life: Life, body: Fields): ServiceReply {
    const task = String(body.task);
    const run = Number(body['run-id']);
    if (life.active.get(task)?.observed.run === run) this.end(life, task, 'stopped');
    life.closed.set(task, Math.max(run, life.closed.get(task) ?? 0));
    return this.accept(life);
  }

  private async hold(life: Life, body: Fields): Promise<ServiceReply> {
    if (typeof body['until-ms'] === 'number') this.extendLease(life, body['until-ms']);
    const lastSeen = Number(body[WIRE.lastSeen] ?? 0);
    life.ends = life.ends.filter(([number]) => number > lastSeen);
    const waitMs = Math.min(MAX_WAIT_MS, Number(body['wait-ms'] ?? 0));
    if (waitMs > 0 && life.ends.length === 0)
      await Promise.race([pause(waitMs), new Promise<void>((resolve) => this.waiters.push(resolve))]);
    const running = [...life.active.values()].map(({ observed, durationMs }) => {
      const percent = ((performance.now() - observed.startedAtMs) * 100) / (durationMs ?? 300);
      return [observed.task, observed.run, '', Math.min(100, Math.floor(percent)), 0];
    });
    const ended = life.ends.slice(0, MAX_LISTED_ENDS);
    return {
      status: 200,
      body: { 'clock-ms': this.clockMs(life), born: life.born, running, 'ended-at': ended },
    };
  }

  private extendLease(life: Life, untilMs: number): void {
    const latestMs = this.clockMs(life) + MAX_HOLD_MS;
    life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(untilMs, latestMs));
    if (life.leaseTimer !== null) clearTimeout(life.leaseTimer);
    life.leaseTimer = setTimeout(
      () => {
        for (const task of [...life.active.keys()]) this.end(life, task, 'lapsed');
      },
      Math.max(0, life.leaseUntilMs - this.clockMs(life)),
    );
  }

  private end(life: Life, task: string, how: 'done' | 'stopped' | 'lapsed'): void {
    const active = life.active.get(task);
    if (active === undefined) return;
    const { observed, timer } = active;
    if (timer !== null) clearTimeout(timer);
    life.active.delete(task);
    life.closed.set(task, Math.max(observed.run, life.closed.get(task) ?? 0));
    observed.endedAtMs = performance.now();
    observed.end = how;
    life.lastEnd += 1;
    life.ends = [...life.ends, [life.lastEnd, task, observed.run, how, '']];
    this.options.record(`end ${task} run ${observed.run} on ${this.options.workerId}: ${how}`);
    const { waiters } = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }
}
