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
  /** Processor time that the job still needs, in core-milliseconds. */
  readonly remainingWork: number;
  /** Whether the job's team uses more than its share of the processors that are in use. */
  readonly isOverShare: boolean;
  /** Position in the order of arrival. */
  readonly arrivalNumber: number;
}

/** Policy for the order in which waiting steps are placed. */
export abstract class QueueOrder {
  abstract sort<T extends WaitingStep>(steps: readonly T[]): readonly T[];
}

/**
 * A job whose slack is below this value, in milliseconds, cannot meet its target, so
 * finishing it sooner has little value.
 */
const MISSED_TARGET_SLACK_MS = -100;

/**
 * Sorts by priority; within a priority, long-running tasks come first, then jobs
 * that can still meet their target, then fillers, then jobs that cannot meet it.
 * Within each of these, teams within their share come before others. Jobs that can
 * meet their target are then sorted by slack, the rest by arrival.
 */
export class SlackOrder extends QueueOrder {
  override sort<T extends WaitingStep>(steps: readonly T[]): readonly T[] {
    return [...steps].sort(
      (a, b) => rank(a) - rank(b) || compareSlack(a, b) || a.arrivalNumber - b.arrivalNumber,
    );
  }
}

function rank({ priority, isLongRunning, isFiller, slackMs, isOverShare }: WaitingStep): number {
  const kind = isFiller ? 2 : isLongRunning ? 0 : slackMs < MISSED_TARGET_SLACK_MS ? 3 : 1;
  return priority * 10 + kind * 2 + (isOverShare ? 1 : 0);
}

function compareSlack(a: WaitingStep, b: WaitingStep): number {
  if (a.isLongRunning || a.slackMs < MISSED_TARGET_SLACK_MS) return 0;
  return a.slackMs - b.slackMs;
}
