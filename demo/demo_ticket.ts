/** The ticket (numbered configuration change) that the demonstration and the benchmarks apply first. */
import { hashKey } from '../admission/key_index';
import type { Deployment } from './deployment';

/** The API key of the demonstration's team. */
export const DEMO_KEY = 'demo-key-of-desk-one';

export interface DemoTicketOptions {
  /** Most requests of the team that may run at once. */
  readonly upperLimit: number;
  /** Requests that each instance may run at once. */
  readonly slots: number;
}

/** Configures one team with one key, one pool of all workers of the deployment and one urgent queue. */
export function demoTicket(
  deployment: Deployment,
  options: DemoTicketOptions,
): Readonly<Record<string, unknown>> {
  return {
    number: 1,
    set: {
      teams: [{ teamId: 'desk-one', shareWeight: 1, upperLimit: options.upperLimit }],
      keys: [{ keyId: 'desk-one-1', teamId: 'desk-one', keyHashHex: hashKey(DEMO_KEY) }],
      pools: [{ poolId: 'quotes', maxUnavailable: 1 }],
      queues: [{ queueId: 'quote', poolId: 'quotes', priority: 'urgent' }],
      instances: deployment.workers.map((worker, index) => ({
        instanceId: `worker-${index + 1}`,
        poolId: 'quotes',
        host: '127.0.0.1',
        port: worker.port('port'),
        availabilityZone: `zone-${(index % 3) + 1}`,
        rack: `rack-${(index % 3) + 1}`,
        slots: options.slots,
      })),
    },
  };
}
