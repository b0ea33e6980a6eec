/** Decides the next steps of maintenance in one pool: returns, reboots, moves and drains. */
import type { FleetConfiguration, InstanceState, Wave } from '../model/fleet';
import type { OperationState } from '../platform/pool_operations';
import {
  hasRebooted,
  lossesOf,
  mayTake,
  settleEntries,
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
  /** On the local monotonic clock, in milliseconds. */
  readonly nowMs: number;
  /** Whether no entry instance has work running on the instance of the entry. */
  readonly isQuiet: (entry: UnavailableInstance) => boolean;
  /** Operations that the platform has answered for, by operation id. */
  readonly operations: ReadonlyMap<string, OperationState>;
  readonly policy: WavePolicy;
  readonly newOperationId: () => string;
}

/** The rows as they should be; `states` are only those that change. */
export interface TickPlan {
  readonly states: ReadonlyMap<string, InstanceState>;
  readonly entries: UnavailableInstances;
  readonly records: ReadonlyMap<string, WaveRecord>;
}

/**
 * Plans one step for every instance of the pool that is ready for one. The
 * same input always gives the same steps, whoever plans them.
 *
 * @example
 * ```ts
 * const plan = planTick({ poolId, fleet, entries, records, view, nowMs, isQuiet, operations, policy, newOperationId });
 * ```
 */
export function planTick(input: TickInput): TickPlan {
  const start: TickPlan = {
    states: new Map(),
    entries: settleEntries({ ...availability(input, EMPTY_PLAN), entries: input.entries }),
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

/** Instances of a wave that still have to be rebooted; those that left the pool are passed over. */
export function openInstances(
  wave: Wave,
  fleet: FleetConfiguration,
  record: WaveRecord | undefined,
): readonly string[] {
  return wave.instanceIds.filter(
    (id) => fleet.instanceStates.get(id)?.poolId === wave.poolId && record?.done.includes(id) !== true,
  );
}

function availability(input: TickInput, plan: TickPlan): AvailabilityInput {
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

/** Takes an instance that is out of service one step further. */
function advance(input: TickInput, plan: TickPlan, state: InstanceState): TickPlan {
  const entry = plan.entries.get(state.instanceId);
  if (entry === undefined) return plan;
  if (state.state === 'draining') {
    return input.isQuiet(entry) ? withState(plan, { ...state, state: 'rebooting' }) : plan;
  }
  if (state.state === 'rebooting') return finishReboot(input, plan, state, entry);
  if (state.state === 'moving') return finishMove(input, plan, state, entry);
  return plan;
}

/**
 * Returns an instance to service once the platform has carried out this very
 * operation, so that an earlier holder's late call finds it done and has no
 * effect.
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

/** Completes, redirects or takes back a move, as the instance's configured pool now says. */
function finishMove(
  input: TickInput,
  plan: TickPlan,
  state: InstanceState,
  entry: UnavailableInstance,
): TickPlan {
  const wanted = input.fleet.instances.get(state.instanceId)?.poolId ?? state.poolId;
  if (wanted === state.poolId) {
    const returned = withState(plan, { ...state, state: 'serving', movingTo: null });
    return withoutEntry(returned, state.instanceId);
  }
  if (wanted !== state.movingTo) return withState(plan, { ...state, movingTo: wanted });
  if (!input.isQuiet(entry)) return plan;
  const arrived = withState(plan, { ...state, state: 'serving', poolId: wanted, movingTo: null });
  return withoutEntry(arrived, state.instanceId);
}

function beginMove(input: TickInput, plan: TickPlan, state: InstanceState): TickPlan {
  const { instanceId } = state;
  const wanted = input.fleet.instances.get(instanceId)?.poolId ?? state.poolId;
  if (wanted === state.poolId || state.state !== 'serving') return plan;
  if (!mayTake(availability(input, plan), instanceId)) return plan;
  return takeOut(input, plan, { ...state, state: 'moving', movingTo: wanted }, { cause: 'move' });
}

type Reason = { readonly cause: 'move' } | { readonly cause: 'wave'; readonly waveId: string };

function takeOut(input: TickInput, plan: TickPlan, state: InstanceState, reason: Reason): TickPlan {
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
      current = takeOut(input, current, next, { cause: 'wave', waveId: wave.waveId });
    }
  }
  return current;
}

/** The state of the next instance to drain, `null` if none may be drained now. */
function nextDrain(input: TickInput, plan: TickPlan, wave: Wave): InstanceState | null {
  const candidates = drainable(input, plan, wave);
  const out = placed(input, [...lossesOf(availability(input, plan)).keys()]);
  const chosen = input.policy.next(placed(input, candidates), out);
  if (chosen === null || !mayTake(availability(input, plan), chosen.instanceId)) return null;
  const state = input.fleet.instanceStates.get(chosen.instanceId);
  return state ? { ...state, state: 'draining' } : null;
}

/** Open instances of the wave that serve now and are listed live. */
function drainable(input: TickInput, plan: TickPlan, wave: Wave): readonly string[] {
  const losses = lossesOf(availability(input, plan));
  return openInstances(wave, input.fleet, plan.records.get(wave.waveId)).filter(
    (id) => !losses.has(id) && !plan.states.has(id),
  );
}

function placed(input: TickInput, instanceIds: readonly string[]): readonly PlacedInstance[] {
  return instanceIds.flatMap((instanceId) => {
    const instance = input.fleet.instances.get(instanceId);
    if (instance === undefined) return [];
    return [{ instanceId, rack: instance.rack, availabilityZone: instance.availabilityZone }];
  });
}

/** Notes on every wave of the pool why it does not go on, if it does not. */
function recordPauses(input: TickInput, plan: TickPlan): TickPlan {
  return wavesOfPool(input.fleet, input.poolId).reduce((current, wave) => {
    const record = current.records.get(wave.waveId) ?? newWaveRecord(wave.waveId);
    const paused = pauseReason(input, current, wave);
    if (paused === record.paused && current.records.has(wave.waveId)) return current;
    return { ...current, records: new Map([...current.records, [wave.waveId, { ...record, paused }]]) };
  }, plan);
}

function pauseReason(input: TickInput, plan: TickPlan, wave: Wave): string | null {
  const losses = lossesOf(availability(input, plan));
  const open = openInstances(wave, input.fleet, plan.records.get(wave.waveId));
  const waiting = open.filter((id) => losses.get(id) !== 'planned' && !plan.states.has(id));
  if (waiting.length === 0) return null;
  if (input.view === null || !isRecent(input.view, input.nowMs)) return PAUSED_STALE_LIST;
  const budget = input.fleet.pools.get(input.poolId)?.maxUnavailable ?? 0;
  if (budget === 0) return PAUSED_NO_BUDGET;
  const unplanned = [...losses.values()].filter((kind) => kind === 'unplanned').length;
  if (unplanned >= budget) return PAUSED_UNPLANNED;
  return waiting.every((id) => losses.has(id)) ? PAUSED_LOST : null;
}
