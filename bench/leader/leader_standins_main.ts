/** Process with the stand-ins of store, workers and instance service, and the callers that hand jobs in. */
import { encodeJob, jobAddress } from '../../scheduling/job_rows';
import { SystemClock } from '../../kernel/system_clock';
import type { StepDefinition } from '../../scheduling/job_definition';
import { InstanceStandin } from '../../platform/standins/instance_standin';
import { StandinWorker } from '../../platform/standins/standin_worker';
import { StoreStandin } from '../../platform/standins/store_standin';
import { WorkerStandinServer } from '../../platform/standins/worker_standin_server';
import { encodeWorkerEntry } from '../../platform/standins/worker_entry_encoding';
import { MAX_LEASE_MS, POOLS, RUN_TIME_MS, TASKS_PER_JOB, TEAM_COUNT, type LeaderLoad } from './leader_load';

/** Interval at which callers hand jobs in, in milliseconds. */
const ARRIVAL_INTERVAL_MS = 10;

const GIBIBYTE = 2 ** 30;

const STEP: StepDefinition = {
  taskCount: TASKS_PER_JOB,
  demand: { processors: 2, memoryBytes: GIBIBYTE, accelerators: 0 },
  estimateMs: RUN_TIME_MS,
  after: [],
  savesProgress: false,
  isGang: false,
  isRackSensitive: false,
  requiredLabel: null,
  dataRack: null,
  maxPerWorker: null,
  isSpeculative: false,
  isLongRunning: false,
  image: '',
  targetMs: null,
  isFiller: false,
  maxUnavailable: null,
};

async function serveStandins({ workers: workerCount, startsPerSecond }: LeaderLoad): Promise<void> {
  const clock = new SystemClock();
  const bornAtMs = Date.now();
  const counts = { started: 0, ended: 0 };
  const workers = new Map<string, StandinWorker>();
  for (let number = 0; number < workerCount; number += 1) {
    const workerId = `worker-${number}`;
    const observer = {
      onStarted: (): void => {
        counts.started += 1;
      },
      onEnded: (): void => {
        counts.ended += 1;
      },
    };
    workers.set(
      workerId,
      new StandinWorker({
        clock,
        workerId,
        bornAtMs,
        maxLeaseMs: MAX_LEASE_MS,
        runTimeMs: () => RUN_TIME_MS * (0.5 + Math.random()),
        observer,
      }),
    );
  }
  const store = new StoreStandin({ pageRows: 500 });
  const workerServer = new WorkerStandinServer((workerId) => workers.get(workerId));
  const address = await workerServer.listen();
  const poolOf = (number: number): string => POOLS[number % POOLS.length] ?? '';
  [...workers.keys()].forEach((workerId, number) => {
    store.rows.apply({ conditions: [], writes: [entryOf(workerId, number)] });
  });
  const instances = new InstanceStandin({
    instances: () =>
      [...workers.keys()].map((workerId, number) => ({
        instanceId: `instance-${workerId}`,
        poolId: poolOf(number),
        state: 'up' as const,
        workerId,
      })),
    onMove: () => undefined,
    onMaintain: () => undefined,
  });
  process.send?.({ store: await store.listen(), instances: await instances.listen() });

  function entryOf(workerId: string, number: number): ReturnType<typeof encodeWorkerEntry> {
    return encodeWorkerEntry({
      workerId,
      poolId: poolOf(number),
      address,
      availabilityZone: `zone-${number % 3}`,
      state: 'ready',
      startedAtMs: bornAtMs,
      capacity: { processors: 32, memoryBytes: 128 * GIBIBYTE, accelerators: 0 },
      labels: ['kind-a', `rack-${Math.floor(number / 20)}`],
      rack: `rack-${Math.floor(number / 20)}`,
      remainingMs: null,
      instanceId: `instance-${workerId}`,
    });
  }

  let jobCount = 0;
  const startedAtMs = performance.now();
  setInterval(() => {
    const due = ((performance.now() - startedAtMs) / 1_000) * (startsPerSecond / TASKS_PER_JOB);
    for (; jobCount < due; jobCount += 1) {
      const jobId = jobCount.toString(16).padStart(16, '0');
      const job = {
        jobId,
        queueId: `queue-${poolOf(jobCount)}`,
        teamId: `team-${jobCount % TEAM_COUNT}`,
        acceptedAtMs: Date.now(),
        definition: { spec: 'x'.repeat(600), steps: [STEP], repeat: null },
      };
      store.rows.apply({ conditions: [], writes: [{ ...jobAddress(jobId), value: encodeJob(job) }] });
    }
  }, ARRIVAL_INTERVAL_MS);
  process.on('message', () => process.send?.(counts));
  process.once('disconnect', () => process.exit(0));
}

void serveStandins(JSON.parse(process.argv[2] ?? '{}') as LeaderLoad);
