/** Admits work within the upper limits of teams, in the order that the queueing policy of each pool decides. */
import type { Clock, Timer } from '../kernel/clock';
import type { EventLoop } from '../kernel/event_loop';
import type { FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import type { Counters } from '../telemetry/counters';
import { AdmissionGate, type Admission, type AdmissionRequest } from './admission_gate';
import type { PoolCounts } from './demand_section';
import type { GrantManager } from './grant_manager';
import { PoolScheduler, type QueuedWork, type SchedulerInputs, type RejectionReason } from './pool_scheduler';
import type { Charge, QueueingPolicy } from './queueing_policy';
import type { TeamCounts } from './slot_shares';

/** Team id under which work that belongs to no team is counted; the ids of teams are never empty. */
const NO_TEAM = '';

const NO_TEAM_WEIGHT = 1;

/** Interval in milliseconds at which expired requests are rejected and free capacity is used, while there is work. */
const TICK_INTERVAL_MS = 50;

/** Prefix of the scheduler id of work that takes no slot. It is unambiguous, since pool ids contain no colon. */
const TASK_SCHEDULER_PREFIX = 'tasks:';

/** More slots than any pool has. The number is finite, since the division of slots cannot compute with `Infinity`. */
const UNBOUNDED_SLOTS = 1_000_000;

/**
 * Maximum number of waiting requests per team and pool. At run times of a few tens of milliseconds,
 * most requests of a longer queue would miss their deadlines.
 */
export const MAX_WAITING_PER_TEAM = 512;

export interface FairAdmissionGateOptions {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly counters: Counters;
  readonly fleet: () => FleetConfiguration;
  /** Whether the configuration in use is known to be current. */
  readonly isFresh: () => boolean;
  readonly memberId: string;
  readonly grants: GrantManager;
  /** Returns the last reported counts of every live peer, by member id. */
  readonly peerCounts: () => ReadonlyMap<string, PoolCounts>;
  /** Returns the counts of this member as last sent to its peers. */
  readonly publishedCounts: () => PoolCounts;
  /** Returns the ids of the live members other than this one, whether or not they have reported counts. */
  readonly peerIds: () => readonly string[];
  readonly newPolicy: () => QueueingPolicy;
  readonly maxWaitingPerTeam?: number;
}

/**
 * @example
 * ```ts
 * const admission = await gate.admit(request);
 * try { await run(request); } finally { admission.release(); }
 * ```
 */
export class FairAdmissionGate extends AdmissionGate {
  private readonly schedulers = new Map<string, PoolScheduler>();
  private timer: Timer | null = null;
  private isClosed = false;
  private slotsCache: {
    readonly fleet: FleetConfiguration;
    readonly slotsByPool: ReadonlyMap<string, number>;
  } | null = null;

  constructor(private readonly options: FairAdmissionGateOptions) {
    super();
  }

  override admit(request: AdmissionRequest): Promise<Admission> {
    const reason = this.rejectionReason(request);
    if (reason !== null) return Promise.reject(this.rejection(reason));
    return new Promise((resolve, reject) => {
      this.enqueue(request, resolve, reject);
    });
  }

  /** Rejects all waiting and all further work; running work continues. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
    for (const scheduler of this.schedulers.values()) this.rejectAll(scheduler, 'shuttingDown');
  }

  /** Starts the waiting work that may start now, in all pools. */
  startWaitingInAllPools(): void {
    for (const schedulerId of this.schedulers.keys()) this.startWaiting(schedulerId);
  }

  /** Must be called when the peers or their counts have changed, which may change the division of slots. */
  onPeersChanged(): void {
    for (const scheduler of this.schedulers.values()) scheduler.invalidateShare();
    this.startWaitingInAllPools();
  }

  /** Returns the running and waiting work that takes slots, per pool and team. */
  counts(): PoolCounts {
    const busy = [...this.schedulers].filter(
      ([schedulerId, scheduler]) => !isTaskScheduler(schedulerId) && !scheduler.isIdle(),
    );
    return new Map(busy.map(([poolId, scheduler]) => [poolId, scheduler.counts()]));
  }

  private rejectionReason(request: AdmissionRequest): RejectionReason | null {
    const { clock, fleet, grants, maxWaitingPerTeam = MAX_WAITING_PER_TEAM } = this.options;
    if (this.isClosed) return 'shuttingDown';
    if (request.signal.aborted) return 'cancelled';
    if (request.deadlineAtMs <= clock.monotonicMs()) return 'deadlineExceeded';
    if (this.slots(request.queue.poolId) === 0) return 'noTarget';
    const { teamId } = request;
    if (teamId !== null) {
      const limit = fleet().teams.get(teamId)?.upperLimit ?? 0;
      if (limit === 0 || grants.isLimitUnavailable(teamId)) return 'limitUnavailable';
    }
    const waiting = this.schedulerOf(schedulerIdOf(request)).queue.count(teamId ?? NO_TEAM);
    return waiting >= maxWaitingPerTeam ? 'queueFull' : null;
  }

  private enqueue(
    request: AdmissionRequest,
    resolve: (admission: Admission) => void,
    reject: (error: RequestError) => void,
  ): void {
    const schedulerId = schedulerIdOf(request);
    const scheduler = this.schedulerOf(schedulerId);
    const onAbort = (): void => {
      if (scheduler.queue.remove(waiting)) item.reject('cancelled');
      this.updateNeed(waiting.teamId);
    };
    const item: QueuedWork = {
      request,
      start: (charge) => {
        request.signal.removeEventListener('abort', onAbort);
        resolve(this.startWork(schedulerId, charge, request.priority));
      },
      reject: (reason) => {
        request.signal.removeEventListener('abort', onAbort);
        reject(this.rejection(reason));
      },
    };
    const waiting = scheduler.queue.add({
      teamId: request.teamId ?? NO_TEAM,
      priority: request.priority,
      waitingSinceMs: this.options.clock.monotonicMs(),
      deadlineAtMs: request.deadlineAtMs,
      item,
    });
    request.signal.addEventListener('abort', onAbort, { once: true });
    this.updateNeed(waiting.teamId);
    this.startWaiting(schedulerId);
    this.scheduleTick();
  }

  private startWork(schedulerId: string, charge: Charge, priority: string): Admission {
    const { clock, grants, counters } = this.options;
    const startedAtMs = clock.monotonicMs();
    let released = false;
    if (charge.teamId !== NO_TEAM) grants.started(charge.teamId);
    counters.increment('admission.started', priority);
    return {
      release: () => {
        if (released) return;
        released = true;
        this.schedulerOf(schedulerId).ended(charge, clock.monotonicMs() - startedAtMs);
        if (charge.teamId !== NO_TEAM) grants.ended(charge.teamId);
        this.updateNeed(charge.teamId);
        // The grant of a team applies to all pools, so work of any pool may start now.
        this.startWaitingInAllPools();
      },
    };
  }

  private startWaiting(schedulerId: string): void {
    const scheduler = this.schedulerOf(schedulerId);
    scheduler.rejectExpired(this.options.clock.monotonicMs());
    if (scheduler.queue.teams().length === 0) return;
    if (!this.options.isFresh()) {
      this.rejectAll(scheduler, 'staleConfiguration');
      return;
    }
    this.rejectUnavailableLimits(scheduler);
    const inputs = this.schedulerInputs(schedulerId);
    while (scheduler.startNext(inputs));
  }

  private rejectUnavailableLimits(scheduler: PoolScheduler): void {
    for (const teamId of scheduler.queue.teams()) {
      if (teamId !== NO_TEAM && this.options.grants.isLimitUnavailable(teamId)) {
        this.rejectAll(scheduler, 'limitUnavailable', (other) => other === teamId);
      }
    }
  }

  private rejectAll(
    scheduler: PoolScheduler,
    reason: RejectionReason,
    matches?: (teamId: string) => boolean,
  ): void {
    for (const { item, teamId } of scheduler.queue.removeAll(matches)) {
      item.reject(reason);
      this.updateNeed(teamId);
    }
  }

  private schedulerInputs(schedulerId: string): SchedulerInputs {
    const { clock, grants, memberId, peerCounts, peerIds, publishedCounts, fleet } = this.options;
    const { teams } = fleet();
    const reported = peerCounts();
    const countsOf = (peerId: string): TeamCounts => reported.get(peerId)?.get(schedulerId) ?? new Map();
    return {
      nowMs: clock.monotonicMs(),
      selfId: memberId,
      slots: isTaskScheduler(schedulerId) ? UNBOUNDED_SLOTS : this.slots(schedulerId),
      peers: new Map(peerIds().map((peerId) => [peerId, countsOf(peerId)])),
      published: publishedCounts().get(schedulerId) ?? new Map(),
      weightOf: (teamId) => teams.get(teamId)?.shareWeight ?? NO_TEAM_WEIGHT,
      limitOf: (teamId) =>
        teamId === NO_TEAM ? Number.POSITIVE_INFINITY : (teams.get(teamId)?.upperLimit ?? 0),
      mayStart: (teamId) => teamId === NO_TEAM || grants.canStart(teamId),
    };
  }

  private updateNeed(teamId: string): void {
    if (teamId === NO_TEAM) return;
    const need = [...this.schedulers.values()].reduce((sum, scheduler) => sum + scheduler.need(teamId), 0);
    this.options.grants.setNeed(teamId, need);
  }

  private schedulerOf(schedulerId: string): PoolScheduler {
    const known = this.schedulers.get(schedulerId);
    if (known) return known;
    const scheduler = new PoolScheduler(this.options.newPolicy());
    this.schedulers.set(schedulerId, scheduler);
    return scheduler;
  }

  /** Returns the sum of the slots of the instances that serve the pool. */
  slots(poolId: string): number {
    const fleet = this.options.fleet();
    if (this.slotsCache?.fleet !== fleet) this.slotsCache = { fleet, slotsByPool: servingSlots(fleet) };
    return this.slotsCache.slotsByPool.get(poolId) ?? 0;
  }

  private scheduleTick(): void {
    if (this.timer !== null || this.isClosed) return;
    this.timer = this.options.clock.schedule(TICK_INTERVAL_MS, () => {
      this.options.loop.post(() => {
        this.tick();
      });
    });
  }

  private tick(): void {
    this.timer = null;
    this.startWaitingInAllPools();
    const teams = new Set(
      [...this.schedulers.values()].flatMap((scheduler) => [...scheduler.counts().keys()]),
    );
    for (const teamId of teams) this.updateNeed(teamId);
    if ([...this.schedulers.values()].some((scheduler) => !scheduler.isIdle())) this.scheduleTick();
  }

  private rejection(reason: RejectionReason): RequestError {
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

/**
 * Returns the id of the scheduler for a request. The tasks of a pool have a
 * scheduler of their own, since they take no slots and only the team limits apply.
 */
function schedulerIdOf(request: AdmissionRequest): string {
  const { poolId } = request.queue;
  return request.occupiesSlot === false ? `${TASK_SCHEDULER_PREFIX}${poolId}` : poolId;
}

function isTaskScheduler(schedulerId: string): boolean {
  return schedulerId.startsWith(TASK_SCHEDULER_PREFIX);
}
