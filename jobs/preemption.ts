/** Making room for an urgent job by throttling, checkpointing or stopping batch tasks, least loss first. */
import { addResources, fitsInto, subtractResources, NO_RESOURCES, type Resources } from '../model/resources';
import type { PlacementCandidate } from './placement_policy';

/** Part of its processors that a throttled task keeps. */
export const THROTTLE_FRACTION = 0.25;

/** Losses in milliseconds of work: slowing a task down, and saving and loading a checkpoint. */
const THROTTLE_LOSS_MS = 100;
const CHECKPOINT_LOSS_MS = 1_000;

export type PreemptionAction = 'throttle' | 'checkpoint' | 'stop';

/** A batch task that may have to make room. */
export interface PreemptibleTask {
  readonly jobId: string;
  readonly demand: Resources;
  readonly throttled: boolean;
  readonly checkpointable: boolean;
  /** Work that a stop would lose, in milliseconds. */
  readonly unsavedMs: number;
  /** Expected remaining run time, in milliseconds; among equals, those that end soon are spared. */
  readonly leftMs: number;
}

export interface PreemptionCandidate extends PlacementCandidate {
  readonly tasks: readonly PreemptibleTask[];
}

/** Actions that make room for a task on one worker. */
export interface Preemption {
  readonly instanceId: string;
  readonly actions: readonly { readonly jobId: string; readonly action: PreemptionAction }[];
  /** Work lost, in milliseconds. */
  readonly lossMs: number;
}

interface Step {
  readonly jobId: string;
  readonly action: PreemptionAction;
  readonly frees: Resources;
  readonly lossMs: number;
  readonly leftMs: number;
}

/**
 * The preemption with the least loss, `null` if no worker can make room.
 *
 * @example
 * ```ts
 * const preemption = choosePreemption(urgentDemand, candidates);
 * ```
 */
export function choosePreemption(
  demand: Resources,
  candidates: readonly PreemptionCandidate[],
): Preemption | null {
  let best: Preemption | null = null;
  for (const candidate of candidates) {
    if (!fitsInto(demand, candidate.capacity)) continue;
    for (const steps of [candidate.tasks.flatMap(throttleStep), candidate.tasks.map(endStep)]) {
      const preemption = cheapestRoom(demand, candidate, steps);
      if (preemption && (best === null || preemption.lossMs < best.lossMs)) best = preemption;
    }
  }
  return best;
}

function cheapestRoom(
  demand: Resources,
  candidate: PreemptionCandidate,
  steps: readonly Step[],
): Preemption | null {
  const byLoss = [...steps].sort((a, b) => a.lossMs - b.lossMs || b.leftMs - a.leftMs);
  let chosen: readonly Step[] = [];
  for (const step of byLoss) {
    if (makesRoom(demand, candidate.free, chosen)) break;
    chosen = [...chosen, step];
  }
  if (!makesRoom(demand, candidate.free, chosen)) return null;
  // A cheap step taken early may have become needless through a later one.
  for (const step of [...chosen].reverse()) {
    const without = chosen.filter((other) => other !== step);
    if (makesRoom(demand, candidate.free, without)) chosen = without;
  }
  return {
    instanceId: candidate.instanceId,
    actions: chosen.map(({ jobId, action }) => ({ jobId, action })),
    lossMs: chosen.reduce((sum, { lossMs }) => sum + lossMs, 0),
  };
}

function makesRoom(demand: Resources, free: Resources, steps: readonly Step[]): boolean {
  return fitsInto(
    demand,
    steps.reduce((sum, { frees }) => addResources(sum, frees), free),
  );
}

function throttleStep(task: PreemptibleTask): readonly Step[] {
  if (task.throttled) return [];
  const kept = { ...task.demand, processors: task.demand.processors * THROTTLE_FRACTION };
  const frees = { ...NO_RESOURCES, processors: subtractResources(task.demand, kept).processors };
  return [{ jobId: task.jobId, action: 'throttle', frees, lossMs: THROTTLE_LOSS_MS, leftMs: task.leftMs }];
}

function endStep(task: PreemptibleTask): Step {
  const action = task.checkpointable ? 'checkpoint' : 'stop';
  const lossMs = task.checkpointable ? CHECKPOINT_LOSS_MS : CHECKPOINT_LOSS_MS + task.unsavedMs;
  return { jobId: task.jobId, action, frees: task.demand, lossMs, leftMs: task.leftMs };
}
