/** Settings of a scheduler process. */

export interface NodeSettings {
  /** Name of the machine, which stays the same when the process restarts. */
  readonly nodeName: string;
  /** Number of processor cores that this process may use; may be a fraction. */
  readonly processors: number;
  /** Memory of the machine, in bytes, above which the process is killed; `null` if it is not stated. */
  readonly memoryLimitBytes: number | null;
  /** Descriptors that the process may have open; `null` if the number is not stated. */
  readonly maxDescriptors: number | null;
  /** Address at which callers are served; `null` if this process serves none. */
  readonly callerAddress: SocketAddress | null;
  /** Address of the readiness check of the load balancer; `null` if there is none. */
  readonly readinessAddress: SocketAddress | null;
  /** Address at which other processes of the system are served. */
  readonly internalAddress: SocketAddress;
  readonly storeAddress: string;
  readonly instancesAddress: string;
  /** Address of the placement advice service; empty if there is none. */
  readonly adviceAddress: string;
  /** Time between the stop signal and forced termination, in milliseconds. */
  readonly stopGraceMs: number;
  /** Maximum duration of a lease that a worker grants, in milliseconds. */
  readonly maxWorkerLeaseMs: number;
  /** Minimum time between commands of two different leaders to one instance, in milliseconds. */
  readonly instanceTurnMs: number;
  /** Commands to instances that the platform accepts per second, from all processes together. */
  readonly instanceCommandsPerSecond: number;
  /** Whether the operator may close availability zones. */
  readonly canCloseZones: boolean;
  /** Minimum time for which the state of an ended job is retained, in milliseconds. */
  readonly endedJobRetentionMs: number;
}

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
