/** Order in which the waiting steps of a pool are placed. */

/** What the order knows about a waiting step. */
export interface WaitingStep {
  readonly stepKey: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isLongRunning: boolean;
  readonly isFiller: boolean;
  /** Time left until the job's target, less the work that is left on its longest chain, in milliseconds. */
  readonly slackMs: number;
  /** Processor time that the job still needs, in milliseconds of one core. */
  readonly remainingWork: number;
  /** Whether the team uses more than its share of what all use. */
  readonly isOverShare: boolean;
  /** Order of arrival. */
  readonly arrivalNumber: number;
}

/** Decides what is lost by letting a step wait. */
export abstract class QueueOrder {
  abstract sort<T extends WaitingStep>(steps: readonly T[]): readonly T[];
}

/** A job that misses its target by more than this earns little whenever it ends, in milliseconds. */
const MISSED_TARGET_SLACK_MS = -100;

/**
 * By priority; lasting work first; then jobs that can still meet their target,
 * those of teams below their share before others and then the most urgent
 * first; jobs that cannot follow in the order of their arrival.
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
