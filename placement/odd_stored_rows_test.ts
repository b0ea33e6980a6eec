/** Guards against a leader that ends, hangs or stops placing because of a row of another writer. */
import { encodeJob, encodeProgress, jobAddress, progressAddress } from '../scheduling/job_rows';
import { INITIAL_JOB_PROGRESS, INITIAL_TASK_PROGRESS } from '../scheduling/job_progress';
import type { AcceptedJob, StepDefinition } from '../scheduling/job_definition';
import { PlacementHarness, STEP } from './_placement_harness';

const JOB = '00000000000000aa';
const ODD_JOB = '00000000000000bb';

function storedJob(step: Partial<StepDefinition>, fields: Partial<AcceptedJob> = {}): string {
  const definition = { spec: 's', steps: [{ ...STEP, ...step }], repeat: null };
  return encodeJob({ jobId: ODD_JOB, queueId: 'q', teamId: 't', acceptedAtMs: 1, definition, ...fields });
}

function storedProgress(key: string): string {
  const runs = [{ run: 1, workerId: 'w1', workerStartedAtMs: 1 }];
  const task = { ...INITIAL_TASK_PROGRESS, lastRun: 1, runs };
  return encodeProgress({ ...INITIAL_JOB_PROGRESS, state: 'running', tasks: new Map([[key, task]]) });
}

const VALID = storedJob({});
const ODD_ROWS: readonly (readonly [name: string, job: string, progress: string | null])[] = [
  ['a run of a step that the job does not have', VALID, storedProgress('0.7.0')],
  ['a run of a task that the step does not have', VALID, storedProgress('0.0.99')],
  ['a run of an occurrence that the job does not have', VALID, storedProgress('5.0.0')],
  ['a run of a task without a number', VALID, storedProgress('x')],
  ['2^50 tasks', storedJob({ taskCount: 2 ** 50 }), null],
  ['no tasks', storedJob({ taskCount: 0 }), null],
  ['a step after itself', storedJob({ after: [0] }), null],
  ['a step after one that does not exist', storedJob({ after: [9] }), null],
  ['a demand of 1e308 bytes', storedJob({ demand: { ...STEP.demand, memoryBytes: 1e308 } }), null],
  ['a negative demand', storedJob({ demand: { ...STEP.demand, processors: -1e300 } }), null],
  [
    '2^50 occurrences',
    storedJob(
      {},
      { definition: { spec: 's', steps: [STEP], repeat: { count: 2 ** 50, firstMs: 0, intervalMs: 0 } } },
    ),
    null,
  ],
  ['the id of another job', storedJob({}, { jobId: '00000000000000cc' }), null],
  ['an id that is no id', storedJob({}, { jobId: 'a.0.0.0' }), null],
  ['20,000 levels of nesting', '['.repeat(20_000) + ']'.repeat(20_000), null],
];

describe.each(ODD_ROWS)('a stored job with %s', (_name, job, progress) => {
  async function leaveRows(harness: PlacementHarness): Promise<void> {
    if (progress !== null) await harness.writeRow({ ...progressAddress(ODD_JOB), value: progress });
    await harness.writeRow({ ...jobAddress(ODD_JOB), value: job });
  }

  test('is left out by a new leader, which places the other jobs', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    await leaveRows(harness);
    await harness.submit(JOB, [STEP]);
    const process = harness.process('a');
    await process.run();
    await harness.advance(12_000);
    expect(worker.starts).toEqual(['0.0.0#1']);
    worker.finishAll();
    await harness.advance(500);
    expect(await harness.state(JOB)).toBe('completed');
    expect(process.counters.snapshot().get('placement.job_row_unusable')).toBe(1);
  });

  test('is left out by a leader that learns of it from the feed', async () => {
    const harness = new PlacementHarness();
    const worker = await harness.addWorker('w1');
    await harness.process('a').run();
    await harness.advance(200);
    if (progress === null) await leaveRows(harness);
    await harness.submit(JOB, [STEP]);
    await harness.advance(6_000);
    worker.finishAll();
    await harness.advance(500);
    expect(worker.starts).toEqual(['0.0.0#1']);
    expect(await harness.state(JOB)).toBe('completed');
  });
});
