/** What a process of the system is told about itself and its surroundings. */

export interface NodeSettings {
  /** Name of the machine; it stays the same when the process starts again. */
  readonly nodeName: string;
  /** Processors that this process may use, in parts of one core of the platform. */
  readonly processors: number;
  /** Where callers are served; `null` if this process serves none. */
  readonly callerAddress: SocketAddress | null;
  /** Where the balancer asks whether this process takes callers. */
  readonly readinessAddress: SocketAddress | null;
  /** Where other processes of the system are served. */
  readonly internalAddress: SocketAddress;
  readonly storeAddress: string;
  readonly instancesAddress: string;
  /** Empty if no queue asks for advice. */
  readonly adviceAddress: string;
  /** Time between the signal to stop and the end by force, in milliseconds. */
  readonly stopGraceMs: number;
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxWorkerLeaseMs: number;
  /** Least time between orders of two holders for one instance, in milliseconds. */
  readonly instanceTurnMs: number;
  /** Least time that a state of an ended job can be read, in milliseconds. */
  readonly endedJobRetentionMs: number;
}

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
