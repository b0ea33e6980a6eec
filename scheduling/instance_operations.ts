/** Commands to the platform's instance service: moves and maintenance of instances. */
import type { Resources } from '../model/resources';

export interface InstanceStatus {
  readonly instanceId: string;
  readonly poolId: string;
  /** `moving`: on the way to another pool. `upkeep`: down for maintenance. */
  readonly state: 'up' | 'moving' | 'upkeep' | 'down';
  readonly availabilityZone: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** The worker that runs on the instance; empty if there is none. */
  readonly workerId: string;
}

/** The instances at one moment. */
export interface InstanceInventory {
  readonly instances: readonly InstanceStatus[];
  /** Whether every entry could be decoded; otherwise an instance that is missing may exist. */
  readonly isComplete: boolean;
}

/** The leader that sends a command. A later leader has a higher fencing token. */
export interface CommandIssuer {
  /** Node name of the leader. */
  readonly leader: string;
  readonly fencingToken: number;
  /** Asked again just before the command is sent: the leader's permission may have ended meanwhile. */
  readonly mayCommand: () => boolean;
}

/**
 * `fenced`: a later leader has already sent a command. `busy`: the instance is not
 * up, or is about to go down. `not_in_wave`: the wave does not contain it.
 * `throttled`: the service limits the rate of calls. `not_sent`: the command never left
 * this process.
 */
export type InstanceCommandResult =
  'accepted' | 'fenced' | 'busy' | 'not_in_wave' | 'rejected' | 'throttled' | 'not_sent';

/**
 * The call timed out or the service was unavailable. The outcome is unknown: the
 * command may have been applied.
 */
export class InstanceOperationsError extends Error {
  override readonly name = 'InstanceOperationsError';
}

/** The platform's instance service. Every method throws {@link InstanceOperationsError}. */
export abstract class InstanceOperations {
  abstract list(): Promise<InstanceInventory>;
  /** Stops everything that runs on the instance at once; a new worker joins `poolId` some time later. */
  abstract move(instanceId: string, poolId: string, issuer: CommandIssuer): Promise<InstanceCommandResult>;
  /** Stops everything that runs on the instance at once; a new worker joins the same pool some time later. */
  abstract maintain(
    instanceId: string,
    waveNumber: number,
    issuer: CommandIssuer,
  ): Promise<InstanceCommandResult>;
}
