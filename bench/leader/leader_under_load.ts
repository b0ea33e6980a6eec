/** A placement leader with the real clients, against stand-ins in another process. */
import { SystemClock } from '../../kernel/system_clock';
import { LeaderElection } from '../../placement/leader_election';
import { PlacementLeader } from '../../placement/placement_leader';
import { HttpInstanceOperations } from '../../platform/http_instance_operations';
import { HttpRowStore } from '../../platform/http_row_store';
import { HttpWorkerGateway } from '../../platform/http_worker_gateway';
import { WirePlatformRowCodec } from '../../platform/wire_platform_row_codec';
import { NO_CLOSED_ZONES } from '../../scheduling/closed_zones';
import type { FleetRules } from '../../scheduling/fleet_rules';
import type { MemoryCounters } from '../../telemetry/counters';
import { Logger } from '../../telemetry/logger';
import { MAX_LEASE_MS, POOLS, TEAM_COUNT, type StandinAddresses } from './leader_load';

const LEASE_MS = 2_000;

function benchRules(): FleetRules {
  const queues = POOLS.map((poolId) => ({
    queueId: `queue-${poolId}`,
    host: 'host',
    pathPrefix: `/${poolId}/`,
    poolId,
    priority: 0,
    maxAttempts: 2,
    stretch: 1.6,
    targetLatencyMs: 600,
    openToAll: false,
    advice: null,
  }));
  const teams = Array.from({ length: TEAM_COUNT }, (_, number) => ({
    teamId: `team-${number}`,
    shareWeight: 1,
    upperLimit: { processors: 0, memoryBytes: 0, accelerators: 0 },
  }));
  return {
    version: 1,
    queues: new Map(queues.map((queue) => [queue.queueId, queue])),
    pools: new Map(POOLS.map((poolId) => [poolId, { poolId, spare: false }])),
    teams: new Map(teams.map((team) => [team.teamId, team])),
    teamByKey: new Map(),
    maxBodyBytes: 1e6,
  };
}

/** Acquires the lease and starts to lead. Throws when the lease is lost. */
export async function leadUnderLoad(addresses: StandinAddresses, counters: MemoryCounters): Promise<void> {
  const clock = new SystemClock();
  const store = new HttpRowStore(addresses.store);
  const rules = benchRules();
  const election = new LeaderElection({
    store,
    clock,
    identity: { nodeName: 'bench', processId: 'bench' },
    leaseMs: LEASE_MS,
    hasLargerPeer: () => false,
    onUnusableLease: () => undefined,
  });
  const lease = await election.acquire();
  if (lease === null) throw new Error('The lease could not be acquired.');
  const leader = new PlacementLeader({
    store,
    clock,
    rowCodec: new WirePlatformRowCodec(),
    gateway: new HttpWorkerGateway(),
    instances: new HttpInstanceOperations(addresses.instances),
    advice: null,
    rules: () => rules,
    waves: () => new Map(),
    closedZones: () => NO_CLOSED_ZONES,
    avoidsInterference: true,
    lease,
    leaseMs: LEASE_MS,
    maxWorkerLeaseMs: MAX_LEASE_MS,
    retentionMs: 120_000,
    instanceCommandDelayMs: 0,
    processors: 1,
    instanceCommandsPerSecond: 300,
    processCount: () => 1,
    counters,
    logger: Logger.create({ level: 'info', destination: { write: () => undefined } }),
    ruleOutSuccessor: () => Promise.resolve(false),
    onStoreUnreachable: () => undefined,
    onLost: () => {
      throw new Error('The lease was lost during the benchmark.');
    },
  });
  await leader.start();
}
