/** The order in which the waiting steps of a pool are placed. */

/** A waiting step with the data that its order depends on. */
export interface WaitingStep {
  readonly stepKey: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isLongRunning: boolean;
  readonly isFiller: boolean;
  /** Time until the job's target, minus the remaining length of its critical path, in milliseconds. */
  readonly slackMs: number;
  /**
   * Like {@link slackMs}, until the time after which the job's result is of no use to its
   * caller any more.
   */
  readonly usefulSlackMs: number;
  /** Value of the job's result to its caller, divided by the number of tasks that have yet to start for it. */
  readonly valuePerStart: number;
  /** Position in the order of arrival. */
  readonly arrivalNumber: number;
}

/** Policy for the order in which waiting steps are placed. */
export abstract class QueueOrder {
  abstract sort<T extends WaitingStep>(steps: readonly T[]): readonly T[];

  /** Number of a step's class: lower ones come first. Within one, a full pool is divided between the accounts. */
  abstract rank(step: WaitingStep): number;
}

/**
 * A job whose slack is below this value, in milliseconds, cannot meet its target, so
 * finishing it sooner has little value.
 */
const MISSED_TARGET_SLACK_MS = -100;

/**
 * A result that takes longer than this multiple of the time within which the job should
 * end is of no use to its caller, who has given up or asked again.
 */
export const USEFUL_TIME_FACTOR = 3;

/**
 * Sorts by priority; within a priority, long-running tasks come first, then jobs
 * that can still meet their target, then fillers, then jobs that cannot meet it but
 * whose result is still of use, then the others. Jobs that can meet their target are then sorted by
 * their value for each start, and by the least slack where that is equal; jobs whose
 * result is still of use by the least slack, the rest by arrival.
 *
 * It answers the load of a burst beyond the pool's capacity or the leader's. Sorting by
 * the least slack keeps each job waiting until its last chance, so that nearly all of
 * them miss their target; sorting late jobs by arrival runs those first that are of no
 * use any more, and each job behind them becomes useless while it waits. The value for
 * each start rises as a job's tasks start, so that begun jobs come before similar ones.
 */
export class SlackOrder extends QueueOrder {
  override sort<T extends WaitingStep>(steps: readonly T[]): readonly T[] {
    return [...steps].sort(
      (a, b) => this.rank(a) - this.rank(b) || compareWithinRank(a, b) || a.arrivalNumber - b.arrivalNumber,
    );
  }

  override rank(step: WaitingStep): number {
    return step.priority * KIND_COUNT + kindOf(step);
  }
}

enum Kind {
  LongRunning,
  OnTime,
  Filler,
  Late,
  Useless,
}

const KIND_COUNT = 5;

function kindOf({ isLongRunning, isFiller, slackMs, usefulSlackMs }: WaitingStep): Kind {
  if (isFiller) return Kind.Filler;
  if (isLongRunning) return Kind.LongRunning;
  if (slackMs >= MISSED_TARGET_SLACK_MS) return Kind.OnTime;
  return usefulSlackMs >= MISSED_TARGET_SLACK_MS ? Kind.Late : Kind.Useless;
}

/** Compares steps of the same rank. */
function compareWithinRank(a: WaitingStep, b: WaitingStep): number {
  const kind = kindOf(a);
  if (kind === Kind.OnTime) return b.valuePerStart - a.valuePerStart || a.slackMs - b.slackMs;
  if (kind === Kind.Filler) return a.slackMs - b.slackMs;
  return kind === Kind.Late ? a.usefulSlackMs - b.usefulSlackMs : 0;
}
