/**
 * Compares queueing policies under bursty load on both benchmark deployments, on
 * a virtual clock. `--policy` and `--deployment` select those whose name contains
 * the given text.
 */
import { parseArgs } from 'node:util';
import { FirstComeFirstServed } from '../admission/first_come_first_served';
import type { QueueingPolicy } from '../admission/queueing_policy';
import { StrictPriority } from '../admission/strict_priority';
import { WeightedFair } from '../admission/weighted_fair';
import { BENCH_DEPLOYMENTS, type BenchDeployment } from './bench_deployments';
import { renderPolicyTable, type PolicyRow } from './policy_table';
import { simulateAdmission } from './admission_simulation';
import { StaticSharePolicy } from './static_share_policy';

const SEED = 7;
const LOAD_DURATION_MS = 120_000;

interface Policy {
  readonly name: string;
  readonly create: (deployment: BenchDeployment) => QueueingPolicy;
}

const POLICIES: readonly Policy[] = [
  { name: 'first come first served', create: () => new FirstComeFirstServed() },
  { name: 'strict priority', create: () => new StrictPriority() },
  { name: 'static pools', create: ({ teams }) => new StaticSharePolicy(shareWeights(teams)) },
  { name: 'weighted fair (the project)', create: () => new WeightedFair() },
];

function shareWeights(teams: BenchDeployment['teams']): ReadonlyMap<string, number> {
  return new Map(teams.map(({ teamId, shareWeight }) => [teamId, shareWeight]));
}

async function measure(
  deployment: BenchDeployment,
  policyFilter: string | undefined,
): Promise<readonly PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for (const policy of POLICIES) {
    if (policyFilter !== undefined && !policy.name.includes(policyFilter)) continue;
    const newPolicy = (): QueueingPolicy => policy.create(deployment);
    rows.push({
      policy: policy.name,
      figures: await simulateAdmission({ deployment, newPolicy, seed: SEED, loadMs: LOAD_DURATION_MS }),
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
        ? JSON.stringify({ deployment: deployment.name, seed: SEED, loadMs: LOAD_DURATION_MS, rows })
        : `${deployment.name}: ${deployment.entryInstanceCount} entry instances, seed ${SEED}, ${LOAD_DURATION_MS / 1_000} s of load\n\n${renderPolicyTable(rows)}\n`;
    process.stdout.write(`${text}\n`);
  }
}

void main();
