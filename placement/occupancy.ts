/** Resources that recorded runs occupy, by worker, by team and by job. */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../model/resources';
import { occupiedBy, type StepDefinition } from '../scheduling/job_definition';

export interface OccupyingRun {
  readonly jobId: string;
  readonly workerId: string;
  readonly teamId: string | null;
  readonly step: StepDefinition;
}

interface JobUsage {
  readonly resources: Resources;
  readonly runCount: number;
}

const NO_JOB_USAGE: JobUsage = { resources: NO_RESOURCES, runCount: 0 };

/**
 * Counts a run from the time it is recorded until it is known to have ended, so
 * that starts whose outcome is unknown count too.
 *
 * @example
 * ```ts
 * occupancy.add({ jobId, workerId: 'w1', teamId: 'desk', step });
 * occupancy.onWorker('w1').processors;
 * ```
 */
export class Occupancy {
  private readonly resourcesByWorker = new Map<string, Resources>();
  private readonly resourcesByTeam = new Map<string, Resources>();
  private readonly usageByJob = new Map<string, JobUsage>();

  add({ jobId, workerId, teamId, step }: OccupyingRun): void {
    const occupied = occupiedBy(step);
    this.resourcesByWorker.set(workerId, addResources(this.onWorker(workerId), occupied));
    const { resources, runCount } = this.usageByJob.get(jobId) ?? NO_JOB_USAGE;
    this.usageByJob.set(jobId, { resources: addResources(resources, occupied), runCount: runCount + 1 });
    if (teamId !== null) this.resourcesByTeam.set(teamId, addResources(this.ofTeam(teamId), step.demand));
  }

  remove({ jobId, workerId, teamId, step }: OccupyingRun): void {
    const occupied = occupiedBy(step);
    this.resourcesByWorker.set(workerId, subtractResources(this.onWorker(workerId), occupied));
    const { resources, runCount } = this.usageByJob.get(jobId) ?? NO_JOB_USAGE;
    if (runCount <= 1) this.usageByJob.delete(jobId);
    else
      this.usageByJob.set(jobId, {
        resources: subtractResources(resources, occupied),
        runCount: runCount - 1,
      });
    if (teamId !== null)
      this.resourcesByTeam.set(teamId, subtractResources(this.ofTeam(teamId), step.demand));
  }

  onWorker(workerId: string): Resources {
    return this.resourcesByWorker.get(workerId) ?? NO_RESOURCES;
  }

  /** Resources that the runs of a job occupy on their workers. */
  ofJob(jobId: string): Resources {
    return (this.usageByJob.get(jobId) ?? NO_JOB_USAGE).resources;
  }

  ofTeam(teamId: string): Resources {
    return this.resourcesByTeam.get(teamId) ?? NO_RESOURCES;
  }
}
