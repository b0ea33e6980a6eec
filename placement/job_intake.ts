/** Reads the rows of jobs into the leader's state: those of earlier leaders first, then new ones. */
import type { Clock } from '../kernel/clock';
import type { FleetRules } from '../scheduling/fleet_rules';
import { queueOf } from '../scheduling/job_queue';
import { isEnded, type JobProgress } from '../scheduling/job_progress';
import { cancelledJobId, decodeProgress, RowFormatError } from '../scheduling/job_rows';
import { decodeStoredJob } from '../scheduling/stored_job';
import type { RowChange, StoredRow } from '../store/row_store';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import type { OpenJob } from './job_registry';
import type { PlacementState } from './placement_state';

export interface JobIntakeOptions {
  readonly clock: Clock;
  readonly state: PlacementState;
  readonly rules: () => FleetRules | null;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Called for each job that is accepted after all earlier ones have been loaded. */
  readonly onArrival: (job: OpenJob, poolId: string) => void;
  /** Called for each job that a caller has cancelled. */
  readonly onCancelled: (job: OpenJob) => void;
}

/**
 * Leaves out jobs of which a row cannot be decoded.
 *
 * @example
 * ```ts
 * intake.inheritProgress(progressRows);
 * intake.handleChanges(jobRows);
 * intake.finishLoading();
 * ```
 */
export class JobIntake {
  /** Progress that earlier leaders stored, by job, until all jobs are loaded. */
  private readonly inheritedProgress = new Map<string, JobProgress>();
  /** Jobs of which a row cannot be decoded. */
  private readonly unusableJobIds = new Set<string>();
  private isLoaded = false;

  constructor(private readonly options: JobIntakeOptions) {}

  /** Takes the progress of all jobs; has to come before the jobs. */
  inheritProgress(rows: readonly StoredRow[]): void {
    for (const { key, value } of rows) {
      const decoded = this.decodeRow(key, () => decodeProgress(value));
      if (decoded !== null) this.inheritedProgress.set(key, decoded);
    }
  }

  /**
   * Ends the loading: later jobs have just arrived. Ended jobs whose own rows have been
   * removed are registered, so that their progress is removed later.
   */
  finishLoading(): void {
    const { jobs } = this.options.state;
    this.isLoaded = true;
    for (const [jobId, { state }] of this.inheritedProgress)
      if (isEnded(state) && !jobs.has(jobId)) jobs.recordEnded(jobId);
    this.inheritedProgress.clear();
  }

  handleChanges(changes: readonly RowChange[]): void {
    const cancelled: string[] = [];
    for (const { key, value } of changes) {
      const jobId = cancelledJobId(key);
      // Only the leader removes rows, and by then it has recorded that the job ended.
      if (value === null) continue;
      if (jobId !== null) cancelled.push(jobId);
      else this.handleJob(key, value);
    }
    for (const jobId of cancelled) this.handleCancellation(jobId);
  }

  /** A job whose cancellation is stored starts no more tasks, whichever of the two rows was stored first. */
  private handleCancellation(jobId: string): void {
    const { state } = this.options;
    // The version that can read the job needs its cancellation, which has to stay stored.
    if (this.unusableJobIds.has(jobId)) return;
    if (state.jobs.get(jobId) === undefined) {
      state.jobs.recordEarlyCancellation(jobId);
      return;
    }
    state.jobs.forgetEarlyCancellation(jobId);
    const job = state.cancel(jobId);
    if (job !== null) this.options.onCancelled(job);
  }

  private handleJob(key: string, value: string): void {
    const { clock, state, rules, logger } = this.options;
    const progress = this.inheritedProgress.get(key);
    const accepted = this.decodeRow(key, () => decodeStoredJob(key, value, progress));
    if (accepted === null || this.unusableJobIds.has(key)) return;
    const ageMs = this.isLoaded ? 0 : Math.max(0, clock.wallMs() - accepted.acceptedAtMs);
    const job = state.jobs.add(accepted, progress, clock.monotonicMs() - ageMs);
    if (job === null) return;
    state.addInheritedRuns(job);
    if (state.jobs.isCancelledEarly(key)) {
      logger.info(LOG_EVENTS.jobCancelledEarly, { jobId: key });
      this.handleCancellation(key);
      return;
    }
    const poolId = queueOf(rules(), accepted)?.poolId;
    if (poolId !== undefined && this.isLoaded) this.options.onArrival(job, poolId);
    if (progress !== undefined) return;
    const { jobId, queueId, teamId } = accepted;
    logger.info(LOG_EVENTS.jobDiscovered, { jobId, queueId, teamId });
  }

  /** Decodes a row of a job; returns `null` for one that a later version wrote or that is corrupted. */
  private decodeRow<T>(jobId: string, decode: () => T): T | null {
    try {
      return decode();
    } catch (error) {
      if (!(error instanceof RowFormatError)) throw error;
      // Without its progress the job might run again; the next version of this system can read it.
      this.unusableJobIds.add(jobId);
      this.options.state.jobs.forgetEarlyCancellation(jobId);
      this.options.counters.increment('placement.job_row_unusable');
      this.options.logger.warn(LOG_EVENTS.jobRowUnusable, { jobId, reason: error.message });
      return null;
    }
  }
}
