/** Order in which the waiting jobs of several teams get their turn. */
import { addResources, dominantShare, NO_RESOURCES, type Resources } from '../model/resources';
import type { Priority } from '../model/fleet';

/** A job that waits for a worker. */
export interface WaitingJob {
  readonly jobId: string;
  readonly teamId: string;
  readonly priority: Priority;
  /** What it is expected to use. */
  readonly demand: Resources;
  readonly submittedAtMs: number;
  /** Workers on which it failed; used only if no other has room. */
  readonly avoid: ReadonlySet<string>;
}

/** What a team uses and may use. */
export interface TeamUse {
  readonly teamId: string;
  readonly weight: number;
  readonly running: Resources;
  /** Further units of work that the upper limit allows. */
  readonly unitsLeft: number;
}

const PRIORITY_RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, batch: 2 };

/**
 * Hands out waiting jobs one by one: urgent ones first, then the team that is
 * furthest below its weighted share of the pool's dominant resource, and
 * within a team by priority and age.
 *
 * @example
 * ```ts
 * const order = new FairOrder(waiting, teams, capacity);
 * for (let job = order.next(); job; job = order.next()) if (place(job)) order.placed(job);
 * ```
 */
export class FairOrder {
  private readonly queues: readonly {
    readonly urgent: boolean;
    readonly teamId: string;
    readonly jobs: WaitingJob[];
  }[];
  private readonly teams: Map<string, TeamUse>;

  constructor(
    waiting: readonly WaitingJob[],
    teams: readonly TeamUse[],
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
      // Reversed, so that the first one is taken from the end.
      jobs: [...jobs].sort(compareJobs).reverse(),
    }));
  }

  /** The next job to try, `undefined` once there is none. Each job is handed out once. */
  next(): WaitingJob | undefined {
    const open = this.queues.filter(({ jobs, teamId }) => jobs.length > 0 && this.unitsLeft(teamId) > 0);
    const urgent = open.filter((queue) => queue.urgent);
    const [first, ...others] = urgent.length > 0 ? urgent : open;
    if (first === undefined) return undefined;
    const lowest = others.reduce(
      (best, queue) => (this.shareOf(queue.teamId) < this.shareOf(best.teamId) ? queue : best),
      first,
    );
    return lowest.jobs.pop();
  }

  /** Counts a job that {@link next} returned as running. */
  placed(job: WaitingJob): void {
    const team = this.teams.get(job.teamId);
    if (team === undefined) return;
    const running = addResources(team.running, job.demand);
    this.teams.set(job.teamId, { ...team, running, unitsLeft: team.unitsLeft - 1 });
  }

  private unitsLeft(teamId: string): number {
    return this.teams.get(teamId)?.unitsLeft ?? 0;
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
