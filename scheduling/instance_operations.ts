/** Moves and maintenance of instances, as the platform carries them out. */
import type { Resources } from '../model/resources';

export interface InstanceStatus {
  readonly instanceId: string;
  readonly poolId: string;
  readonly state: 'up' | 'moving' | 'upkeep' | 'down';
  readonly availabilityZone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The worker that the instance runs; empty if it runs none. */
  readonly workerId: string;
}

/** Who gives an order. A later holder of the role has a higher token. */
export interface CommandIssuer {
  readonly leader: string;
  readonly fencingToken: number;
}

/** `busy`: the instance is not up, or is leaving. `not_in_wave`: the wave does not name it. */
export type InstanceCommandResult = 'accepted' | 'fenced' | 'busy' | 'not_in_wave' | 'rejected' | 'throttled';

/** No answer, or a refusal for lack of capacity: the order may have been carried out. */
export class InstanceOperationsError extends Error {
  override readonly name = 'InstanceOperationsError';
}

/** Every method throws {@link InstanceOperationsError}. */
export abstract class InstanceOperations {
  abstract list(): Promise<readonly InstanceStatus[]>;
  /** Ends all that runs on the instance at once; a new worker joins the pool some time later. */
  abstract move(instanceId: string, poolId: string, issuer: CommandIssuer): Promise<InstanceCommandResult>;
  /** Ends all that runs on the instance at once; a new worker joins its pool some time later. */
  abstract maintain(
    instanceId: string,
    waveNumber: number,
    issuer: CommandIssuer,
  ): Promise<InstanceCommandResult>;
}
