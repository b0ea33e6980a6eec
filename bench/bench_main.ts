/** Measures the order of admission under the bursts of both deployments, on a virtual clock. */
import { parseArgs } from 'node:util';
import { FirstComeFirstServed } from '../admission/first_come_first_served';
import type { QueueingPolicy } from '../admission/queueing_policy';
import { StrictPriority } from '../admission/strict_priority';
import { WeightedFair } from '../admission/weighted_fair';
import { BENCH_DEPLOYMENTS, type BenchDeployment } from './deployments';
import { policyTable, type PolicyRow } from './policy_table';
import { simulate } from './simulation';
import { StaticPools } from './static_pools';

const SEED = 7;
const LOAD_MS = 120_000;

interface Policy {
  readonly name: string;
  readonly create: (deployment: BenchDeployment) => QueueingPolicy;
}

const POLICIES: readonly Policy[] = [
  { name: 'first come first served', create: () => new FirstComeFirstServed() },
  { name: 'strict priority', create: () => new StrictPriority() },
  { name: 'static pools', create: ({ accounts }) => new StaticPools(weightsOf(accounts)) },
  { name: 'weighted fair (the project)', create: () => new WeightedFair() },
];

function weightsOf(accounts: BenchDeployment['accounts']): ReadonlyMap<string, number> {
  return new Map(accounts.map(({ teamId, shareWeight }) => [teamId, shareWeight]));
}

async function measure(deployment: BenchDeployment, only: string | undefined): Promise<readonly PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for (const policy of POLICIES) {
    if (only !== undefined && !policy.name.includes(only)) continue;
    const newPolicy = (): QueueingPolicy => policy.create(deployment);
    rows.push({
      policy: policy.name,
      figures: await simulate({ deployment, newPolicy, seed: SEED, loadMs: LOAD_MS }),
    });
  }
  return rows;
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { json: { type: 'boolean' }, policy: { type: 'string' }, deployment: { type: 'string' } },
  });
  for (const deployment of BENCH_DEPLOYMENTS) {
    if (!deployment.name.includes(values.deployment ?? '')) continue;
    const rows = await measure(deployment, values.policy);
    const text =
      values.json === true
        ? JSON.stringify({ deployment: deployment.name, seed: SEED, loadMs: LOAD_MS, rows })
        : `${deployment.name}: ${deployment.entryInstances} entry instances, seed ${SEED}, ${LOAD_MS / 1_000} s of load\n\n${policyTable(rows)}\n`;
    process.stdout.write(`${text}\n`);
  }
}

void main();
