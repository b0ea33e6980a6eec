/** Admission by grants within the upper limits and by a fair queue per pool. */
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { AdmissionGate, type Admission, type AdmissionRequest } from './admission_gate';
import type { PoolCounts } from './demand_section';
import type { GrantKeeper } from './grant_keeper';
import { PoolLine, type LineItem, type LineSurroundings, type RefusalReason } from './pool_line';
import type { Charge, QueueingPolicy } from './queueing_policy';
import type { TeamCounts } from './slot_shares';

/** Name under which work of no team is counted; no team id is empty. */
const NO_TEAM = '';

const NO_TEAM_WEIGHT = 1;

const TICK_MS = 50;

/** Lines of work that takes no slot; ids of pools contain no colon. */
const TASK_LINE_PREFIX = 'tasks:';

/** More than any pool has; a finite number keeps the division of slots exact. */
const UNBOUNDED_SLOTS = 1_000_000;

/** Waiting requests per team and pool; at a few tens of milliseconds each, more would miss most deadlines. */
export const MOST_WAITING_PER_TEAM = 512;

export interface FairAdmissionGateOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly fleet: () => FleetConfiguration;
  /** Whether the configuration in use is known to be current. */
  readonly isFresh: () => boolean;
  readonly memberId: string;
  readonly keeper: GrantKeeper;
  /** Last counts of every live peer. */
  readonly peers: () => ReadonlyMap<string, PoolCounts>;
  /** The counts of this member as its peers know them. */
  readonly published: () => PoolCounts;
  /** Live members other than this one, heard from or not. */
  readonly peerIds: () => readonly string[];
  readonly newPolicy: () => QueueingPolicy;
  readonly mostWaitingPerTeam?: number;
}

/**
 * @example
 * ```ts
 * const admission = await gate.admit(request);
 * try { await run(request); } finally { admission.release(); }
 * ```
 */
export class FairAdmissionGate extends AdmissionGate {
  private readonly lines = new Map<string, PoolLine>();
  private timer: Timer | null = null;
  private closed = false;
  private slotsOf: {
    readonly fleet: FleetConfiguration;
    readonly slots: ReadonlyMap<string, number>;
  } | null = null;

  constructor(private readonly options: FairAdmissionGateOptions) {
    super();
  }

  override admit(request: AdmissionRequest): Promise<Admission> {
    const reason = this.reasonToRefuse(request);
    if (reason !== null) return Promise.reject(this.refusal(reason));
    return new Promise((resolve, reject) => {
      this.enqueue(request, resolve, reject);
    });
  }

  /** Refuses what still waits and everything that comes; running work is not touched. */
  close(): void {
    this.closed = true;
    this.timer?.cancel();
    for (const line of this.lines.values()) this.refuseAll(line, 'shuttingDown');
  }

  /** Starts what may start now, in all pools. */
  pumpAll(): void {
    for (const lineId of this.lines.keys()) this.pump(lineId);
  }

  /** The division of slots may have changed. */
  peersChanged(): void {
    for (const line of this.lines.values()) line.shareIsOutdated();
    this.pumpAll();
  }

  /** Running and waiting work on slots per pool and team. */
  counts(): PoolCounts {
    const busy = [...this.lines].filter(([lineId, line]) => !isTaskLine(lineId) && !line.isIdle());
    return new Map(busy.map(([poolId, line]) => [poolId, line.counts()]));
  }

  private reasonToRefuse(request: AdmissionRequest): RefusalReason | null {
    const { clock, fleet, keeper, mostWaitingPerTeam = MOST_WAITING_PER_TEAM } = this.options;
    if (this.closed) return 'shuttingDown';
    if (request.signal.aborted) return 'cancelled';
    if (request.deadlineAtMs <= clock.monotonicMs()) return 'deadlineExceeded';
    if (this.slots(request.queue.poolId) === 0) return 'noTarget';
    const { teamId } = request;
    if (teamId !== null) {
      const limit = fleet().teams.get(teamId)?.upperLimit ?? 0;
      if (limit === 0 || keeper.isOutOfReach(teamId)) return 'limitUnavailable';
    }
    const waiting = this.line(lineOf(request)).queue.count(teamId ?? NO_TEAM);
    return waiting >= mostWaitingPerTeam ? 'queueFull' : null;
  }

  private enqueue(
    request: AdmissionRequest,
    resolve: (admission: Admission) => void,
    reject: (refusal: RequestError) => void,
  ): void {
    const lineId = lineOf(request);
    const line = this.line(lineId);
    const onAbort = (): void => {
      if (line.queue.remove(waiting)) item.refuse('cancelled');
      this.updateNeed(waiting.teamId);
    };
    const item: LineItem = {
      request,
      start: (charge) => {
        request.signal.removeEventListener('abort', onAbort);
        resolve(this.begin(lineId, charge, request.priority));
      },
      refuse: (reason) => {
        request.signal.removeEventListener('abort', onAbort);
        reject(this.refusal(reason));
      },
    };
    const waiting = line.queue.add({
      teamId: request.teamId ?? NO_TEAM,
      priority: request.priority,
      sinceMs: this.options.clock.monotonicMs(),
      deadlineAtMs: request.deadlineAtMs,
      item,
    });
    request.signal.addEventListener('abort', onAbort, { once: true });
    this.updateNeed(waiting.teamId);
    this.pump(lineId);
    this.scheduleTick();
  }

  private begin(lineId: string, charge: Charge, priority: string): Admission {
    const { clock, keeper, counters } = this.options;
    const startedMs = clock.monotonicMs();
    let released = false;
    if (charge.teamId !== NO_TEAM) keeper.started(charge.teamId);
    counters.increment('admission.started', priority);
    return {
      release: () => {
        if (released) return;
        released = true;
        this.line(lineId).ended(charge, clock.monotonicMs() - startedMs);
        if (charge.teamId !== NO_TEAM) keeper.ended(charge.teamId);
        this.updateNeed(charge.teamId);
        // A grant may have been freed for any pool.
        this.pumpAll();
      },
    };
  }

  private pump(lineId: string): void {
    const line = this.line(lineId);
    line.dropOverdue(this.options.clock.monotonicMs());
    if (line.queue.teams().length === 0) return;
    if (!this.options.isFresh()) {
      this.refuseAll(line, 'staleConfiguration');
      return;
    }
    this.refuseOutOfReach(line);
    const around = this.surroundings(lineId);
    while (line.startNext(around));
  }

  private refuseOutOfReach(line: PoolLine): void {
    for (const teamId of line.queue.teams()) {
      if (teamId !== NO_TEAM && this.options.keeper.isOutOfReach(teamId)) {
        this.refuseAll(line, 'limitUnavailable', (other) => other === teamId);
      }
    }
  }

  private refuseAll(line: PoolLine, reason: RefusalReason, matches?: (teamId: string) => boolean): void {
    for (const { item, teamId } of line.queue.takeAll(matches)) {
      item.refuse(reason);
      this.updateNeed(teamId);
    }
  }

  private surroundings(lineId: string): LineSurroundings {
    const { clock, keeper, memberId, peers, peerIds, published, fleet } = this.options;
    const { teams } = fleet();
    const reported = peers();
    const inLine = (peerId: string): TeamCounts => reported.get(peerId)?.get(lineId) ?? new Map();
    return {
      nowMs: clock.monotonicMs(),
      selfId: memberId,
      slots: isTaskLine(lineId) ? UNBOUNDED_SLOTS : this.slots(lineId),
      peers: new Map(peerIds().map((peerId) => [peerId, inLine(peerId)])),
      published: published().get(lineId) ?? new Map(),
      weightOf: (teamId) => teams.get(teamId)?.shareWeight ?? NO_TEAM_WEIGHT,
      limitOf: (teamId) =>
        teamId === NO_TEAM ? Number.POSITIVE_INFINITY : (teams.get(teamId)?.upperLimit ?? 0),
      mayStart: (teamId) => teamId === NO_TEAM || keeper.canStart(teamId),
    };
  }

  private updateNeed(teamId: string): void {
    if (teamId === NO_TEAM) return;
    const need = [...this.lines.values()].reduce((sum, line) => sum + line.need(teamId), 0);
    this.options.keeper.setNeed(teamId, need);
  }

  private line(lineId: string): PoolLine {
    const known = this.lines.get(lineId);
    if (known) return known;
    const line = new PoolLine(this.options.newPolicy());
    this.lines.set(lineId, line);
    return line;
  }

  /** Slots of the instances that serve the pool. */
  slots(poolId: string): number {
    const fleet = this.options.fleet();
    if (this.slotsOf?.fleet !== fleet) this.slotsOf = { fleet, slots: servingSlots(fleet) };
    return this.slotsOf.slots.get(poolId) ?? 0;
  }

  private scheduleTick(): void {
    if (this.timer !== null || this.closed) return;
    this.timer = this.options.clock.schedule(TICK_MS, () => {
      this.options.loop.post(() => {
        this.tick();
      });
    });
  }

  private tick(): void {
    this.timer = null;
    this.pumpAll();
    const teams = new Set([...this.lines.values()].flatMap((line) => [...line.counts().keys()]));
    for (const teamId of teams) this.updateNeed(teamId);
    if ([...this.lines.values()].some((line) => !line.isIdle())) this.scheduleTick();
  }

  private refusal(reason: RefusalReason): RequestError {
    this.options.counters.increment('admission.refused', reason);
    if (reason === 'cancelled') {
      return new RequestError(RESULT_CODES.deadlineExceeded, {
        outcome: 'not_run',
        detail: 'The caller has gone before a target was free.',
      });
    }
    const isFinal = reason === 'deadlineExceeded';
    return new RequestError(RESULT_CODES[reason], {
      outcome: 'not_run',
      ...(isFinal ? {} : { retryAfterS: reason === 'shuttingDown' ? 0 : 1 }),
    });
  }
}

function servingSlots(fleet: FleetConfiguration): ReadonlyMap<string, number> {
  const slots = new Map<string, number>();
  for (const { instanceId, slots: own } of fleet.instances.values()) {
    const state = fleet.instanceStates.get(instanceId);
    if (state?.state !== 'serving') continue;
    slots.set(state.poolId, (slots.get(state.poolId) ?? 0) + own);
  }
  return slots;
}

/** Requests of a pool wait in one line; its tasks in another, where only the team limits count. */
function lineOf(request: AdmissionRequest): string {
  const { poolId } = request.queue;
  return request.occupiesSlot === false ? `${TASK_LINE_PREFIX}${poolId}` : poolId;
}

function isTaskLine(lineId: string): boolean {
  return lineId.startsWith(TASK_LINE_PREFIX);
}
