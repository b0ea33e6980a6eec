/** What a process of the system is told about itself and its surroundings. */

export interface NodeSettings {
  /** Name of the machine; it stays the same when the process starts again. */
  readonly nodeName: string;
  readonly availabilityZone: string;
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
  /** How often workers write their entry, in milliseconds. */
  readonly workerHeartbeatMs: number;
  /** Time between the signal to stop and the end by force, in milliseconds. */
  readonly stopGraceMs: number;
  /** Longest lease that a worker grants, in milliseconds. */
  readonly maxWorkerLeaseMs: number;
  /** Least time between orders of two holders for one instance, in milliseconds. */
  readonly instanceTurnMs: number;
  /** Most calls a second for moves and maintenance, of all processes together. */
  readonly instanceOrdersPerSecond: number;
  /** Least time that a state of an ended job can be read, in milliseconds. */
  readonly endedJobRetentionMs: number;
  /** How many times as long work takes far from its data or spread over racks. */
  readonly remoteFactor: number;
  /** Time a move of an instance takes, in milliseconds. */
  readonly moveMs: number;
}

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}
