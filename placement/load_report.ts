/** Counts what limited the leader and what callers got since the last report. */
import type { LogFields } from '../telemetry/logger';

/**
 * Why waiting tasks were not started in a planning pass. `starts`: this process starts no
 * more tasks now; `room`: no worker has room; `team_limit`: the team has reached its limit.
 */
export type HoldReason = 'starts' | 'room' | 'team_limit';

interface QueueCounts {
  readonly onTime: number;
  readonly late: number;
}

const NO_JOBS: QueueCounts = { onTime: 0, late: 0 };

/**
 * Tells a shortage of the leader's processor from one of workers.
 *
 * @example
 * ```ts
 * report.recordJobEnd('quotes', tookMs <= targetMs);
 * report.recordHeld('desk', 'room');
 * logger.info(LOG_EVENTS.placementLoad, report.take(processorMs, nowMs));
 * ```
 */
export class LoadReport {
  private readonly queues = new Map<string, QueueCounts>();
  private readonly held = new Map<string, Map<HoldReason, number>>();
  private passes = 0;
  private starts = 0;
  private ends = 0;
  private delaySumMs = 0;
  private lastProcessorMs = 0;
  private lastTakenAtMs = 0;

  /** Records a planning pass that began this much later than planned. */
  recordPass(delayMs: number): void {
    this.passes += 1;
    this.delaySumMs += Math.max(0, delayMs);
  }

  recordStart(): void {
    this.starts += 1;
  }

  recordRunEnd(): void {
    this.ends += 1;
  }

  /** Records that a job ended, before or after its target. */
  recordJobEnd(queueId: string, isOnTime: boolean): void {
    const { onTime, late } = this.queues.get(queueId) ?? NO_JOBS;
    this.queues.set(queueId, isOnTime ? { onTime: onTime + 1, late } : { onTime, late: late + 1 });
  }

  /** Records a planning pass that left tasks of a pool waiting. */
  recordHeld(poolId: string, reason: HoldReason): void {
    const reasons = this.held.get(poolId) ?? new Map<HoldReason, number>();
    this.held.set(poolId, reasons);
    reasons.set(reason, (reasons.get(reason) ?? 0) + 1);
  }

  /**
   * Returns the fields to log and starts the next report. `processorMs` is the processor
   * time that this process has used since its start.
   */
  take(processorMs: number, nowMs: number): LogFields {
    const elapsedMs = Math.max(1, nowMs - this.lastTakenAtMs);
    const fields = {
      processorShare: Number(((processorMs - this.lastProcessorMs) / elapsedMs).toFixed(2)),
      meanDelayMs: Math.round(this.delaySumMs / Math.max(1, this.passes)),
      passes: this.passes,
      starts: this.starts,
      ends: this.ends,
      jobs: Object.fromEntries(this.queues),
      passesHeld: Object.fromEntries([...this.held].map(([poolId, r]) => [poolId, Object.fromEntries(r)])),
    };
    this.lastProcessorMs = processorMs;
    this.lastTakenAtMs = nowMs;
    this.queues.clear();
    this.held.clear();
    [this.passes, this.starts, this.ends, this.delaySumMs] = [0, 0, 0, 0];
    return fields;
  }
}
