/** Fixtures: a fleet configuration, its workers and jobs. */
import { hashKey } from '../admission/key_index';
import {
  EMPTY_CONFIGURATION,
  instanceSchema,
  queueSchema,
  type FleetConfiguration,
  type Instance,
} from '../model/fleet';
import { jobSchema, type Job, INITIAL_PROGRESS } from './job';

export const GIB = 2 ** 30;

export interface TestFleetOptions {
  readonly workers: number;
  readonly upperLimit?: number;
  readonly processors?: number;
}

/** Teams `red` and `blue`, a pool `vats` with workers, and a queue `stir`. */
export function testFleet(options: TestFleetOptions): FleetConfiguration {
  const instances = Array.from({ length: options.workers }, (_, index) => testInstance(index + 1, options));
  const teams = ['red', 'blue'].map((teamId) => ({
    teamId,
    shareWeight: 1,
    upperLimit: options.upperLimit ?? 100,
  }));
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    teams: new Map(teams.map((team) => [team.teamId, team])),
    keys: new Map(
      teams.map(({ teamId }) => [teamId, { keyId: teamId, teamId, keyHashHex: hashKey(`${teamId}-key`) }]),
    ),
    pools: new Map([['vats', { poolId: 'vats', maxUnavailable: 1, spare: false }]]),
    queues: new Map([['stir', queueSchema.parse({ queueId: 'stir', poolId: 'vats' })]]),
    instances: new Map(instances.map((instance) => [instance.instanceId, instance])),
    instanceStates: new Map(
      instances.map(({ instanceId, poolId }) => [
        instanceId,
        { instanceId, poolId, movingTo: null, state: 'serving', epoch: 0 },
      ]),
    ),
  };
}

export function testInstance(number: number, options: Partial<TestFleetOptions> = {}): Instance {
  return instanceSchema.parse({
    instanceId: `worker-${number}`,
    poolId: 'vats',
    host: '127.0.0.1',
    port: 1,
    availabilityZone: 'zone-1',
    rack: `rack-${number}`,
    processors: options.processors ?? 32,
  });
}

export function testJob(jobId: string, changes: Partial<Job> = {}): Job {
  return jobSchema.parse({
    jobId,
    teamId: 'red',
    queueId: 'stir',
    poolId: 'vats',
    processors: 8,
    memoryBytes: GIB,
    accelerators: 0,
    runTimeMs: 1_000,
    priority: 'normal',
    payload: '',
    fingerprint: '',
    submittedAtMs: 0,
    ...INITIAL_PROGRESS,
    ...changes,
  });
}
