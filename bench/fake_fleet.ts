/** Small configurations for simulations. */
import { instanceSchema, type FleetConfiguration, type Queue, type Team } from '../model/fleet';

export interface FakeFleetOptions {
  readonly teams: readonly Team[];
  readonly queues: readonly Queue[];
  /** Number of workers per pool. */
  readonly workers: ReadonlyMap<string, number>;
  /** Requests that each worker may run at once. */
  readonly slots: number;
  readonly revision: number;
}

/** A configuration whose instances are all in service. */
export function fakeFleet(options: FakeFleetOptions): FleetConfiguration {
  const instances = [...options.workers].flatMap(([poolId, count]) =>
    Array.from({ length: count }, (_, index) =>
      instanceSchema.parse({
        instanceId: `${poolId}-${index + 1}`,
        poolId,
        host: '127.0.0.1',
        port: 1,
        availabilityZone: `zone-${(index % 3) + 1}`,
        rack: `rack-${Math.floor(index / 4) + 1}`,
        slots: options.slots,
        connections: 64,
      }),
    ),
  );
  return {
    revision: options.revision,
    teams: new Map(options.teams.map((team) => [team.teamId, team])),
    keys: new Map(),
    pools: new Map(
      [...options.workers.keys()].map((poolId) => [poolId, { poolId, maxUnavailable: 1, spare: false }]),
    ),
    queues: new Map(options.queues.map((queue) => [queue.queueId, queue])),
    instances: new Map(instances.map((instance) => [instance.instanceId, instance])),
    waves: new Map(),
    instanceStates: new Map(
      instances.map(({ instanceId, poolId }) => [
        instanceId,
        { instanceId, poolId, movingTo: null, state: 'serving' as const, epoch: 1 },
      ]),
    ),
  };
}

/** A queue of idempotent requests with normal priority that every team may use. */
export function fakeQueue(queueId: string, poolId: string, deadlineMs = 30_000): Queue {
  return { queueId, poolId, openToAll: false, teamIds: [], idempotent: true, priority: 'normal', deadlineMs };
}
