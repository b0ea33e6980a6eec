/** Weighted fair ordering of the waiting jobs of several teams. */
import { addResources, dominantShare, NO_RESOURCES, type Resources } from '../model/resources';
import type { Priority } from '../model/fleet';

/** A job that waits for a worker. */
export interface WaitingJob {
  readonly jobId: string;
  readonly teamId: string;
  readonly priority: Priority;
  /** Expected usage. */
  readonly demand: Resources;
  readonly submittedAtMs: number;
  /** Workers on which it failed; chosen only if no other has room. */
  readonly avoidedInstanceIds: ReadonlySet<string>;
}

/** What a team uses, and how much more it may use. */
export interface TeamUsage {
  readonly teamId: string;
  readonly weight: number;
  /** Resources that its running tasks use in the pool. */
  readonly running: Resources;
  /** Number of further jobs that the upper limit allows. */
  readonly maxNewJobs: number;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, batch: 2 };

/**
 * Returns waiting jobs one by one: urgent ones first, then those of the team
 * with the lowest dominant share of the pool relative to its weight, and
 * within a team by priority and age.
 *
 * @example
 * ```ts
 * const order = new FairOrder(waiting, teams, capacity);
 * for (let job = order.next(); job; job = order.next()) if (place(job)) order.recordPlaced(job);
 * ```
 */
export class FairOrder {
  private readonly queues: readonly {
    readonly urgent: boolean;
    readonly teamId: string;
    readonly jobs: WaitingJob[];
  }[];
  private readonly teams: Map<string, TeamUsage>;

  constructor(
    waiting: readonly WaitingJob[],
    teams: readonly TeamUsage[],
    private readonly capacity: Resources,
  ) {
    this.teams = new Map(teams.map((team) => [team.teamId, team]));
    const groups = new Map<string, WaitingJob[]>();
    for (const job of waiting) {
      const name = `${job.priority === 'urgent' ? 'urgent' : 'other'}/${job.teamId}`;
      const group = groups.get(name);
      if (group) group.push(job);
      else groups.set(name, [job]);
    }
    this.queues = [...groups.values()].map((jobs) => ({
      urgent: jobs[0]?.priority === 'urgent',
      teamId: jobs[0]?.teamId ?? '',
      // Reversed, because `next` pops from the end.
      jobs: [...jobs].sort(compareJobs).reverse(),
    }));
  }

  /** The next job to try, `undefined` once there is none. Each job is returned once. */
  next(): WaitingJob | undefined {
    const eligible = this.queues.filter(({ jobs, teamId }) => jobs.length > 0 && this.maxNewJobs(teamId) > 0);
    const urgent = eligible.filter((queue) => queue.urgent);
    const [first, ...others] = urgent.length > 0 ? urgent : eligible;
    if (first === undefined) return undefined;
    const lowest = others.reduce(
      (best, queue) => (this.shareOf(queue.teamId) < this.shareOf(best.teamId) ? queue : best),
      first,
    );
    return lowest.jobs.pop();
  }

  /** Counts a job that {@link next} returned as running. */
  recordPlaced(job: WaitingJob): void {
    const team = this.teams.get(job.teamId);
    if (team === undefined) return;
    const running = addResources(team.running, job.demand);
    this.teams.set(job.teamId, { ...team, running, maxNewJobs: team.maxNewJobs - 1 });
  }

  private maxNewJobs(teamId: string): number {
    return this.teams.get(teamId)?.maxNewJobs ?? 0;
  }

  private shareOf(teamId: string): number {
    const team = this.teams.get(teamId);
    return dominantShare(team?.running ?? NO_RESOURCES, this.capacity) / (team?.weight ?? 1);
  }
}

function compareJobs(a: WaitingJob, b: WaitingJob): number {
  const byPriority = PRIORITY_RANK[a.priority] - PRIORITY_RANK[b.priority];
  if (byPriority !== 0) return byPriority;
  if (a.submittedAtMs !== b.submittedAtMs) return a.submittedAtMs - b.submittedAtMs;
  return a.jobId < b.jobId ? -1 : 1;
}
