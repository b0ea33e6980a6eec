/** Guards against a job whose progress outgrows its row, and against work that is repeated or lost when done tasks are dropped from it. */
import * as fc from 'fast-check';
import { seededRandom } from '../bench/seeded_random';
import { propertyParameters } from '../placement/_property_parameters';
import { QUEUE, STEP } from '../placement/_placement_harness';
import { MAX_ROW_VALUE_BYTES } from '../store/row_store';
import { occurrenceCount, taskKey, type AcceptedJob, type TaskId } from './job_definition';
import { decodeIndexes, encodeIndexes } from './index_set';
import { JobRecord, type TaskRun } from './job_record';
import { decodeProgress, encodeJob, encodeProgress } from './job_rows';
import { decodeStoredJob, unstorableReason } from './stored_job';

/** Larger jobs take longer to play and have no larger rows. */
const MAX_PLAYED_TASKS = 2_000;

const JOB_ID = '00000000000000aa';

const stepArbitrary = fc.record({
  taskCount: fc.oneof(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 200, max: 700 })),
  isGang: fc.boolean(),
  hasPredecessor: fc.boolean(),
});

const jobArbitrary = fc.record({
  steps: fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }),
  occurrences: fc.constantFrom(1, 1, 3, 120),
});

interface JobShape {
  readonly steps: readonly {
    readonly taskCount: number;
    readonly isGang: boolean;
    readonly hasPredecessor: boolean;
  }[];
  readonly occurrences: number;
}

function jobOf({ steps, occurrences }: JobShape): AcceptedJob {
  const definitions = steps.map(({ taskCount, isGang, hasPredecessor }, index) => ({
    ...STEP,
    taskCount,
    isGang: isGang && taskCount <= 12,
    savesProgress: true,
    after: hasPredecessor && index > 0 ? [index - 1] : [],
  }));
  const repeat = occurrences === 1 ? null : { count: occurrences, firstMs: 0, intervalMs: 0 };
  const definition = { spec: '', steps: definitions, repeat };
  return { jobId: JOB_ID, queueId: QUEUE.queueId, teamId: null, acceptedAtMs: 0, definition };
}

function totalTasks({ definition }: AcceptedJob): number {
  const tasks = definition.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  return tasks * occurrenceCount(definition);
}

/** Plays a job to its end and returns the size of its largest row. Throws if a done task starts again. */
class JobPlay {
  private record: JobRecord;
  private readonly doneTasks = new Set<string>();
  largestBytes = 0;

  constructor(
    private readonly job: AcceptedJob,
    private readonly random: () => number,
  ) {
    this.record = new JobRecord({ job, maxAttempts: () => Infinity });
  }

  run(): string {
    const maxRounds = 400 + totalTasks(this.job);
    for (let round = 0; round < maxRounds && this.record.state !== 'completed'; round += 1) {
      for (const { occurrence, step, definition, waiting } of this.record.readySteps(0))
        this.start(occurrence, step, definition.isGang ? waiting : waiting.slice(0, 300));
      this.endSome();
      if (round % 5 === 0) this.takeOver();
    }
    return this.record.state;
  }

  private start(occurrence: number, step: number, indexes: readonly number[]): void {
    const tasks = indexes.map((index) => ({ jobId: JOB_ID, occurrence, step, index }));
    const run = this.record.nextRun(tasks);
    for (const task of tasks) {
      if (this.doneTasks.has(taskKey(task))) throw new Error(`Task ${taskKey(task)} starts again.`);
      this.record.addRun(task, { run, workerId: 'worker-of-some-machine', workerStartedAtMs: 1.7e12 });
    }
    this.measure();
  }

  /** Ends most runs; a round without an end would not end. */
  private endSome(): void {
    const runs = this.record.runs();
    for (const run of runs) if (this.random() < 0.8) this.end(run);
    this.measure();
  }

  private end({ task, run, workerId }: TaskRun): void {
    const roll = this.random();
    const outcome = roll < 0.7 ? 'done' : roll < 0.85 ? 'failed' : 'lost';
    this.record.saveCheckpoint(task, 'checkpoint-0000000');
    this.record.endRun({ task, run, workerId, outcome, checkpoint: '' });
    if (outcome === 'done') this.markDone(task);
  }

  private markDone(task: TaskId): void {
    const { isGang, taskCount } = this.record.step(task.step);
    for (let index = 0; index < taskCount; index += 1)
      if (isGang || index === task.index) this.doneTasks.add(taskKey({ ...task, index }));
  }

  private takeOver(): void {
    const progress = decodeProgress(encodeProgress(this.record.progress));
    decodeStoredJob(JOB_ID, encodeJob(this.job), progress);
    const successor = new JobRecord({ job: this.job, progress, maxAttempts: () => Infinity });
    expect(successor.runs()).toEqual(expect.arrayContaining([...this.record.runs()]));
    expect(successor.readySteps(0)).toEqual(this.record.readySteps(0));
    this.record = successor;
  }

  private measure(): void {
    this.largestBytes = Math.max(this.largestBytes, Buffer.byteLength(encodeProgress(this.record.progress)));
  }
}

test('a job of any shape completes within its row, and no done task starts again', () => {
  fc.assert(
    fc.property(jobArbitrary, fc.nat(), (shape, seed) => {
      const job = jobOf(shape);
      fc.pre(unstorableReason(job) === null && totalTasks(job) <= MAX_PLAYED_TASKS);
      const play = new JobPlay(job, seededRandom(seed));
      expect(play.run()).toBe('completed');
      expect(play.largestBytes).toBeLessThanOrEqual(MAX_ROW_VALUE_BYTES);
    }),
    propertyParameters({ seed: 32, numRuns: 40 }),
  );
}, 120_000);

test('a set of numbers is read back', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat({ max: 2_000 })), (indexes) => {
      expect(decodeIndexes(encodeIndexes(indexes))).toEqual([...indexes].sort((a, b) => a - b));
    }),
    propertyParameters({ seed: 33, numRuns: 100 }),
  );
});

test('a row of an earlier version, which lists all done tasks, is read and shortened', () => {
  const job = jobOf({ steps: [{ taskCount: 2, isGang: false, hasPredecessor: false }], occurrences: 300 });
  const tasks = Array.from({ length: 299 }, (_, occurrence) => [
    [`${occurrence}.0.0`, 1, 0, 0, 1, '', []],
    [`${occurrence}.0.1`, 1, 0, 0, 1, '', []],
  ]).flat();
  const stored = JSON.stringify({ encoding: 1, state: 'running', tasks });
  const record = new JobRecord({ job, progress: decodeProgress(stored), maxAttempts: () => 2 });
  expect(record.readySteps(0).map(({ occurrence }) => occurrence)).toEqual([299]);
  expect(encodeProgress(record.progress).length).toBeLessThan(100);
});
