/** Admission gate that checks only the team limits, for simulations of placement. */
import type { FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { RESULT_CODES } from '../model/result_code';
import { AdmissionGate, type Admission, type AdmissionRequest } from '../admission/admission_gate';

export class LimitOnlyGate extends AdmissionGate {
  private readonly running = new Map<string, number>();

  constructor(private readonly fleet: () => FleetConfiguration) {
    super();
  }

  override admit(request: AdmissionRequest): Promise<Admission> {
    const { teamId } = request;
    if (teamId === null) return Promise.resolve({ release: () => undefined });
    const limit = this.fleet().teams.get(teamId)?.upperLimit ?? 0;
    const running = this.running.get(teamId) ?? 0;
    if (running >= limit) {
      return Promise.reject(
        new RequestError(RESULT_CODES.limitUnavailable, { outcome: 'not_run', retryAfterS: 1 }),
      );
    }
    this.running.set(teamId, running + 1);
    return Promise.resolve({ release: this.releaseOnce(teamId) });
  }

  private releaseOnce(teamId: string): () => void {
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.running.set(teamId, (this.running.get(teamId) ?? 1) - 1);
    };
  }
}
