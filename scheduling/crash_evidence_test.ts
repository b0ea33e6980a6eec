/** Guards against blaming tasks without evidence, and against counts that a change of version loses. */
import { STEP } from '../placement/_placement_harness';
import { isGivenUp, judgeCrash, NO_CRASHES, withCrash, type Suspicion } from './crash_evidence';
import { JobRecord } from './job_record';
import { decodeProgress, encodeProgress } from './job_rows';

function givenUpAfter(
  suspicions: readonly Suspicion[],
  { isLongRunning = false, isConfirmed = true } = {},
): boolean {
  const counts = suspicions.reduce((sum, suspicion) => withCrash(sum, suspicion, isConfirmed), NO_CRASHES);
  return isGivenUp(counts, suspicions.at(-1) ?? 'cleared', isLongRunning);
}

function suspicionsOf(tasks: readonly (readonly [string, number])[]): readonly Suspicion[] {
  return [
    ...judgeCrash(
      tasks.map(([unit, ageMs]) => ({ unit, ageMs, isolatedMs: 150, isConfirmed: true })),
    ).values(),
  ];
}

describe('judgeCrash', () => {
  test('suspects what had started last, and clears what had run for long', () => {
    const ages = [
      ['new', 10],
      ['young', 1_000],
      ['old', 60_000],
    ] as const;
    expect(suspicionsOf(ages)).toEqual(['sole', 'beside', 'cleared']);
  });

  test('does not single out one of several that had just started, or one that had run for a while', () => {
    const ages = [
      ['a', 10],
      ['b', 30],
    ] as const;
    expect(suspicionsOf(ages)).toEqual(['shared', 'shared']);
    expect(suspicionsOf([['a', 800]])).toEqual(['shared']);
  });

  test('takes the members of a gang as one', () => {
    const ages = [
      ['gang', 10],
      ['gang', 12],
    ] as const;
    expect(suspicionsOf(ages)).toEqual(['sole']);
  });
});

describe('a task is given up', () => {
  test.each<[readonly Suspicion[], boolean]>([
    [['sole'], false],
    [['sole', 'sole'], true],
    [['shared', 'sole'], true],
    [['beside', 'sole'], false],
    [['sole', 'shared'], false],
    [['sole', 'beside'], false],
    [['shared', 'shared', 'shared', 'shared', 'shared'], false],
    [['beside', 'beside', 'beside', 'beside', 'beside'], false],
    [['sole', 'cleared', 'sole'], false],
  ])('after %j: %s', (suspicions, expected) => {
    expect(givenUpAfter(suspicions)).toBe(expected);
  });

  test('later if it is long-running', () => {
    expect(givenUpAfter(['sole', 'sole'], { isLongRunning: true })).toBe(false);
    expect(givenUpAfter(['shared', 'shared', 'sole'], { isLongRunning: true })).toBe(false);
    expect(givenUpAfter(['shared', 'sole', 'sole'], { isLongRunning: true })).toBe(true);
  });

  test('later if it is not known to have started', () => {
    expect(givenUpAfter(['shared', 'sole'], { isConfirmed: false })).toBe(false);
    expect(givenUpAfter(['shared', 'sole', 'sole', 'sole'], { isConfirmed: false })).toBe(true);
  });
});

describe('stored counts of crashes', () => {
  const job = {
    jobId: '00000000000000aa',
    queueId: 'q',
    teamId: null,
    acceptedAtMs: 0,
    definition: { spec: '', steps: [{ ...STEP, taskCount: 2 }], repeat: null },
  };
  const task = { jobId: job.jobId, occurrence: 0, step: 0, index: 1 };

  test('are read back, and absent from rows without suspects', () => {
    const record = new JobRecord({ job, maxAttempts: () => 2 });
    record.addRun(task, { run: 1, workerId: 'w', workerStartedAtMs: 1 });
    const before = encodeProgress(record.progress);
    expect(before).not.toContain('crashes');
    expect(decodeProgress(before).crashes).toEqual(new Map());
    record.recordCrash(task, 'sole', true);
    const stored = encodeProgress(record.progress);
    const successor = new JobRecord({ job, maxAttempts: () => 2, progress: decodeProgress(stored) });
    expect(successor.crashesOf(task)).toEqual({ crashes: 1, firstCrashes: 1, soleCrashes: 1 });
    // Earlier versions ignore unknown fields of the row, but reject longer rows of tasks.
    expect((JSON.parse(stored) as { tasks: unknown }).tasks).toEqual(
      (JSON.parse(before) as { tasks: unknown }).tasks,
    );
  });

  test('end when the task ends by itself', () => {
    const record = new JobRecord({ job, maxAttempts: () => 2 });
    record.addRun(task, { run: 1, workerId: 'w', workerStartedAtMs: 1 });
    record.recordCrash(task, 'sole', true);
    record.endRun({ task, run: 1, workerId: 'w', outcome: 'failed', checkpoint: '' });
    expect(record.hasCrashes()).toBe(false);
  });
});
