/** Decides when requests and tasks may start, by the upper limits and the shares of their teams. */
import { capability } from '../kernel/capability';
import type { Priority, Queue } from '../model/fleet';

/** A unit of work to be admitted: a request or a task of a job. */
export interface AdmissionRequest {
  readonly requestId: string;
  /** `null` for work of no team on a queue open to all. */
  readonly teamId: string | null;
  readonly queue: Queue;
  readonly priority: Priority;
  /** Milliseconds on the local monotonic clock. */
  readonly deadlineAtMs: number;
  /**
   * Whether the work takes one of the pool's request slots; by default it does.
   * Tasks of jobs are sized by processors and memory instead.
   */
  readonly occupiesSlot?: boolean;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Permission to run one unit of work. */
export interface Admission {
  /** Must be called when the work can no longer be running. Further calls have no effect. */
  release(): void;
}

export abstract class AdmissionGate {
  /** Resolves when the work may start. Rejects with `RequestError`, outcome `not_run`. */
  abstract admit(request: AdmissionRequest): Promise<Admission>;
}

export const ADMISSION_GATE = capability<AdmissionGate>('admission.gate');
