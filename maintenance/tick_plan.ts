/** Decides the next maintenance steps in one pool: returns to service, reboots, moves and drains. */
import type { FleetConfiguration, InstanceState, Wave } from '../model/fleet';
import type { OperationState } from '../platform/pool_operations';
import {
  hasRebooted,
  unavailabilityOf,
  mayTakeOutOfService,
  updateEntries,
  statesOfPool,
  type AvailabilityInput,
  type UnavailableInstances,
  type UnavailableInstance,
} from './availability_budget';
import { isListedLive, isRecent, type PlatformView } from './platform_view';
import type { PlacedInstance, WavePolicy } from './wave_policy';
import { newWaveRecord, type WaveRecord } from './wave_record';

export const PAUSED_STALE_LIST = 'The platform list is older than 5 s.';
export const PAUSED_NO_BUDGET = 'The pool allows no unavailable instance.';
export const PAUSED_UNPLANNED = 'Unplanned losses use up the availability budget.';
export const PAUSED_LOST = 'The remaining instances are lost.';

export interface TickInput {
  readonly poolId: string;
  readonly fleet: FleetConfiguration;
  readonly entries: UnavailableInstances;
  readonly records: ReadonlyMap<string, WaveRecord>;
  readonly view: PlatformView | null;
  /** Time on the local monotonic clock, in milliseconds. */
  readonly nowMs: number;
  /** Whether no entry instance has work running on the instance of the entry. */
  readonly isIdle: (entry: UnavailableInstance) => boolean;
  /** States that the platform has returned for operations, by operation id. */
  readonly operations: ReadonlyMap<string, OperationState>;
  readonly policy: WavePolicy;
  readonly newOperationId: () => string;
}

/**
 * The states and rows to be written: `states` contains only instances whose state changes,
 * `entries` and `records` contain all of the pool.
 */
export interface TickPlan {
  readonly states: ReadonlyMap<string, InstanceState>;
  readonly entries: UnavailableInstances;
  readonly records: ReadonlyMap<string, WaveRecord>;
}

/**
 * Plans one step for every instance of the pool that is ready for one. The plan
 * depends only on the input, so that every member plans the same steps from it.
 *
 * @example
 * ```ts
 * const plan = planTick({ poolId, fleet, entries, records, view, nowMs, isIdle, operations, policy, newOperationId });
 * ```
 */
export function planTick(input: TickInput): TickPlan {
  const start: TickPlan = {
    states: new Map(),
    entries: updateEntries({ ...availabilityInput(input, EMPTY_PLAN), entries: input.entries }),
    records: input.records,
  };
  const advanced = statesOfPool(input).reduce((plan, state) => advance(input, plan, state), start);
  const moved = statesOfPool(input).reduce((plan, state) => beginMove(input, plan, state), advanced);
  const drained = beginDrains(input, moved);
  return recordPauses(input, drained);
}

const EMPTY_PLAN: TickPlan = { states: new Map(), entries: new Map(), records: new Map() };

/** The waves of a pool in the order in which they are carried out. */
export function wavesOfPool(fleet: FleetConfiguration, poolId: string): readonly Wave[] {
  return [...fleet.waves.values()]
    .filter((wave) => wave.poolId === poolId)
    .sort((a, b) => (a.waveId < b.waveId ? -1 : 1));
}

/** Instances of a wave that still have to be rebooted; those that have left the pool are skipped. */
export function instancesToReboot(
  wave: Wave,
  fleet: FleetConfiguration,
  record: WaveRecord | undefined,
): readonly string[] {
  return wave.instanceIds.filter(
    (id) => fleet.instanceStates.get(id)?.poolId === wave.poolId && record?.done.includes(id) !== true,
  );
}

function availabilityInput(input: TickInput, plan: TickPlan): AvailabilityInput {
  const instanceStates = new Map([...input.fleet.instanceStates, ...plan.states]);
  return {
    poolId: input.poolId,
    fleet: { pools: input.fleet.pools, instanceStates },
    entries: plan.entries,
    view: input.view,
    nowMs: input.nowMs,
  };
}

function withState(plan: TickPlan, state: InstanceState): TickPlan {
  const next = { ...state, epoch: state.epoch + 1 };
  return { ...plan, states: new Map([...plan.states, [state.instanceId, next]]) };
}

function withEntry(plan: TickPlan, entry: UnavailableInstance): TickPlan {
  return { ...plan, entries: new Map([...plan.entries, [entry.instanceId, entry]]) };
}

function withoutEntry(plan: TickPlan, instanceId: string): TickPlan {
  return { ...plan, entries: new Map([...plan.entries].filter(([id]) => id !== instanceId)) };
}

function withDone(plan: TickPlan, entry: UnavailableInstance): TickPlan {
  if (entry.waveId === null) return plan;
  const record = plan.records.get(entry.waveId) ?? newWaveRecord(entry.waveId);
  const done = [...record.done.filter((id) => id !== entry.instanceId), entry.instanceId];
  return { ...plan, records: new Map([...plan.records, [entry.waveId, { ...record, done }]]) };
}

/** Plans the next step of an instance that is out of service. */
function advance(input: TickInput, plan: TickPlan, state: InstanceState): TickPlan {
  const entry = plan.entries.get(state.instanceId);
  if (entry === undefined) return plan;
  if (state.state === 'draining') {
    return input.isIdle(entry) ? withState(plan, { ...state, state: 'rebooting' }) : plan;
  }
  if (state.state === 'rebooting') return finishReboot(input, plan, state, entry);
  if (state.state === 'moving') return finishMove(input, plan, state, entry);
  return plan;
}

/**
 * Returns an instance to service only once the platform reports this operation
 * as done. A late call from an entry instance that held the role earlier then finds
 * the operation done and does not reboot the instance again.
 */
function finishReboot(
  input: TickInput,
  plan: TickPlan,
  state: InstanceState,
  entry: UnavailableInstance,
): TickPlan {
  const { view } = input;
  if (view === null || !isRecent(view, input.nowMs) || entry.operationId === null) return plan;
  const operation = input.operations.get(entry.operationId);
  if (operation === 'failed' && isListedLive(view, state.instanceId)) {
    return withEntry(plan, { ...entry, operationId: input.newOperationId() });
  }
  if (operation !== 'done' || !hasRebooted(view, entry)) return plan;
  const returned = withState(plan, { ...state, state: 'serving' });
  return withDone(withoutEntry(returned, state.instanceId), entry);
}

/** Completes, redirects or cancels a move, depending on the pool that is now configured for the instance. */
function finishMove(
  input: TickInput,
  plan: TickPlan,
  state: InstanceState,
  entry: UnavailableInstance,
): TickPlan {
  const configuredPoolId = input.fleet.instances.get(state.instanceId)?.poolId ?? state.poolId;
  if (configuredPoolId === state.poolId) {
    const returned = withState(plan, { ...state, state: 'serving', movingTo: null });
    return withoutEntry(returned, state.instanceId);
  }
  if (configuredPoolId !== state.movingTo) return withState(plan, { ...state, movingTo: configuredPoolId });
  if (!input.isIdle(entry)) return plan;
  const arrived = withState(plan, { ...state, state: 'serving', poolId: configuredPoolId, movingTo: null });
  return withoutEntry(arrived, state.instanceId);
}

function beginMove(input: TickInput, plan: TickPlan, state: InstanceState): TickPlan {
  const { instanceId } = state;
  const configuredPoolId = input.fleet.instances.get(instanceId)?.poolId ?? state.poolId;
  if (configuredPoolId === state.poolId || state.state !== 'serving') return plan;
  if (!mayTakeOutOfService(availabilityInput(input, plan), instanceId)) return plan;
  return takeOutOfService(
    input,
    plan,
    { ...state, state: 'moving', movingTo: configuredPoolId },
    { cause: 'move' },
  );
}

type OutOfServiceReason = { readonly cause: 'move' } | { readonly cause: 'wave'; readonly waveId: string };

function takeOutOfService(
  input: TickInput,
  plan: TickPlan,
  state: InstanceState,
  reason: OutOfServiceReason,
): TickPlan {
  const { instanceId } = state;
  return withEntry(withState(plan, state), {
    instanceId,
    cause: reason.cause,
    bootId: input.view?.lastBootIds.get(instanceId) ?? null,
    waveId: reason.cause === 'wave' ? reason.waveId : null,
    operationId: reason.cause === 'wave' ? input.newOperationId() : null,
    revision: input.fleet.revision + 1,
  });
}

function beginDrains(input: TickInput, plan: TickPlan): TickPlan {
  let current = plan;
  for (const wave of wavesOfPool(input.fleet, input.poolId)) {
    for (let next = nextDrain(input, current, wave); next !== null; next = nextDrain(input, current, wave)) {
      current = takeOutOfService(input, current, next, { cause: 'wave', waveId: wave.waveId });
    }
  }
  return current;
}

/** Returns the new state of the next instance to drain, `null` if none may be drained now. */
function nextDrain(input: TickInput, plan: TickPlan, wave: Wave): InstanceState | null {
  const candidates = drainable(input, plan, wave);
  const unavailable = withFailureDomains(input, [...unavailabilityOf(availabilityInput(input, plan)).keys()]);
  const chosen = input.policy.next(withFailureDomains(input, candidates), unavailable);
  if (chosen === null || !mayTakeOutOfService(availabilityInput(input, plan), chosen.instanceId)) return null;
  const state = input.fleet.instanceStates.get(chosen.instanceId);
  return state ? { ...state, state: 'draining' } : null;
}

/** Instances of the wave that still have to be rebooted, are available now and have no step planned. */
function drainable(input: TickInput, plan: TickPlan, wave: Wave): readonly string[] {
  const unavailable = unavailabilityOf(availabilityInput(input, plan));
  return instancesToReboot(wave, input.fleet, plan.records.get(wave.waveId)).filter(
    (id) => !unavailable.has(id) && !plan.states.has(id),
  );
}

function withFailureDomains(input: TickInput, instanceIds: readonly string[]): readonly PlacedInstance[] {
  return instanceIds.flatMap((instanceId) => {
    const instance = input.fleet.instances.get(instanceId);
    if (instance === undefined) return [];
    return [{ instanceId, rack: instance.rack, availabilityZone: instance.availabilityZone }];
  });
}

/** Records for every wave of the pool why it is paused, `null` if it is not. */
function recordPauses(input: TickInput, plan: TickPlan): TickPlan {
  return wavesOfPool(input.fleet, input.poolId).reduce((current, wave) => {
    const record = current.records.get(wave.waveId) ?? newWaveRecord(wave.waveId);
    const paused = pauseReason(input, current, wave);
    if (paused === record.paused && current.records.has(wave.waveId)) return current;
    return { ...current, records: new Map([...current.records, [wave.waveId, { ...record, paused }]]) };
  }, plan);
}

function pauseReason(input: TickInput, plan: TickPlan, wave: Wave): string | null {
  const unavailable = unavailabilityOf(availabilityInput(input, plan));
  const toReboot = instancesToReboot(wave, input.fleet, plan.records.get(wave.waveId));
  const waiting = toReboot.filter((id) => unavailable.get(id) !== 'planned' && !plan.states.has(id));
  if (waiting.length === 0) return null;
  if (input.view === null || !isRecent(input.view, input.nowMs)) return PAUSED_STALE_LIST;
  const budget = input.fleet.pools.get(input.poolId)?.maxUnavailable ?? 0;
  if (budget === 0) return PAUSED_NO_BUDGET;
  const unplanned = [...unavailable.values()].filter((kind) => kind === 'unplanned').length;
  if (unplanned >= budget) return PAUSED_UNPLANNED;
  return waiting.every((id) => unavailable.has(id)) ? PAUSED_LOST : null;
}
