/** The part of the waiting steps that waits for room or for the leader's starts, and for nothing else. */
import type { WaitingWork } from '../admission_control/backlog_groups';
import { fitsInto, type Resources } from '../model/resources';
import { occupiedBy } from '../scheduling/job_definition';
import type { Candidate } from './plan_request';
import type { RunTimeEstimator } from './run_time_estimator';

/** Largest number of requests that are published of a pool. */
const MAX_DEMANDS = 8;

/** Whether a step waits for the pool alone, rather than for a label, an advice service or others of its tasks. */
function waitsForPool({ readyStep, queue, job }: Candidate): boolean {
  const { isGang, isLongRunning, isFiller, requiredLabel, maxPerWorker } = readyStep.definition;
  const isRestricted = isGang || isLongRunning || isFiller || requiredLabel !== null || maxPerWorker !== null;
  return !isRestricted && queue.advice === null && !job.record.hasCrashes();
}

export function waitingWork(
  candidates: readonly Candidate[],
  estimator: RunTimeEstimator,
): readonly WaitingWork[] {
  return candidates.filter(waitsForPool).map((candidate) => ({
    ...candidate,
    teamId: candidate.job.record.job.teamId,
    demand: occupiedBy(candidate.readyStep.definition),
    waitingTasks: candidate.readyStep.waiting.length,
    runTimeMs: estimator.expectedMs(candidate.queue.queueId, candidate.readyStep.definition.estimateMs),
  }));
}

/** The least requests among steps that were left out and fit on no worker now. */
export function unplacedDemands(
  candidates: readonly Candidate[],
  unplaced: ReadonlySet<string>,
  free: readonly Resources[],
): readonly Resources[] {
  const found: Resources[] = [];
  for (const candidate of candidates) {
    if (found.length >= MAX_DEMANDS) break;
    if (!unplaced.has(candidate.stepKey) || !waitsForPool(candidate)) continue;
    const demand = occupiedBy(candidate.readyStep.definition);
    if (found.some((known) => fitsInto(known, demand))) continue;
    if (!free.some((amount) => fitsInto(demand, amount))) found.push(demand);
  }
  return found;
}
