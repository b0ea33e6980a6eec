/** Chooses which batch tasks are throttled, checkpointed or stopped for an urgent job, least loss first. */
import { addResources, fitsInto, subtractResources, NO_RESOURCES, type Resources } from '../model/resources';
import type { PlacementCandidate } from './placement_policy';

/** Fraction of its processors that a throttled task may use. */
export const THROTTLE_FRACTION = 0.25;

/** Estimate of the work that is lost by throttling a task, in milliseconds. */
const THROTTLE_LOSS_MS = 100;
/** Estimate of the work that is lost by saving and loading a checkpoint, in milliseconds. */
const CHECKPOINT_LOSS_MS = 1_000;

export type PreemptionAction = 'throttle' | 'checkpoint' | 'stop';

/** A batch task that may be preempted. */
export interface PreemptibleTask {
  readonly jobId: string;
  readonly demand: Resources;
  readonly throttled: boolean;
  readonly checkpointable: boolean;
  /** Work that a stop would lose, in milliseconds. */
  readonly unsavedMs: number;
  /** Expected remaining run time, in milliseconds; among tasks with equal loss, those that end later are preempted first. */
  readonly remainingMs: number;
}

export interface PreemptionCandidate extends PlacementCandidate {
  readonly tasks: readonly PreemptibleTask[];
}

/** Actions that free the resources for a task on one worker. */
export interface Preemption {
  readonly instanceId: string;
  readonly actions: readonly { readonly jobId: string; readonly action: PreemptionAction }[];
  /** Work lost, in milliseconds. */
  readonly lossMs: number;
}

interface PreemptionStep {
  readonly jobId: string;
  readonly action: PreemptionAction;
  readonly freed: Resources;
  readonly lossMs: number;
  readonly remainingMs: number;
}

/**
 * Returns the preemption with the least loss, or `null` if no worker can free
 * enough.
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
      const preemption = cheapestPreemption(demand, candidate, steps);
      if (preemption && (best === null || preemption.lossMs < best.lossMs)) best = preemption;
    }
  }
  return best;
}

function cheapestPreemption(
  demand: Resources,
  candidate: PreemptionCandidate,
  steps: readonly PreemptionStep[],
): Preemption | null {
  const byLoss = [...steps].sort((a, b) => a.lossMs - b.lossMs || b.remainingMs - a.remainingMs);
  let chosen: readonly PreemptionStep[] = [];
  for (const step of byLoss) {
    if (freesEnough(demand, candidate.free, chosen)) break;
    chosen = [...chosen, step];
  }
  if (!freesEnough(demand, candidate.free, chosen)) return null;
  // A later step may have made an earlier, cheaper one unnecessary.
  for (const step of [...chosen].reverse()) {
    const without = chosen.filter((other) => other !== step);
    if (freesEnough(demand, candidate.free, without)) chosen = without;
  }
  return {
    instanceId: candidate.instanceId,
    actions: chosen.map(({ jobId, action }) => ({ jobId, action })),
    lossMs: chosen.reduce((sum, { lossMs }) => sum + lossMs, 0),
  };
}

function freesEnough(demand: Resources, free: Resources, steps: readonly PreemptionStep[]): boolean {
  return fitsInto(
    demand,
    steps.reduce((sum, { freed }) => addResources(sum, freed), free),
  );
}

function throttleStep(task: PreemptibleTask): readonly PreemptionStep[] {
  if (task.throttled) return [];
  const throttled = { ...task.demand, processors: task.demand.processors * THROTTLE_FRACTION };
  const freed = { ...NO_RESOURCES, processors: subtractResources(task.demand, throttled).processors };
  return [
    {
      jobId: task.jobId,
      action: 'throttle',
      freed,
      lossMs: THROTTLE_LOSS_MS,
      remainingMs: task.remainingMs,
    },
  ];
}

function endStep(task: PreemptibleTask): PreemptionStep {
  const action = task.checkpointable ? 'checkpoint' : 'stop';
  const lossMs = task.checkpointable ? CHECKPOINT_LOSS_MS : CHECKPOINT_LOSS_MS + task.unsavedMs;
  return { jobId: task.jobId, action, freed: task.demand, lossMs, remainingMs: task.remainingMs };
}
