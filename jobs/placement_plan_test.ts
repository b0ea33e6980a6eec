/** Guards against plans that overfill a worker, exceed a team's limit, starve large jobs or preempt more work than needed. */
import fc from 'fast-check';
import { addResources, fitsInto, NO_RESOURCES, type Resources } from '../model/resources';
import { BestFitPlacement } from './best_fit_placement';
import type { TeamUsage, WaitingJob } from './fair_order';
import { FirstFitPlacement } from './first_fit_placement';
import { planPlacements, type PlanInput, type PlanWorker } from './placement_plan';
import { choosePreemption, type PreemptibleTask } from './preemption';

const CAPACITY: Resources = { processors: 32, memoryBytes: 128, accelerators: 0 };

function sized(processors: number, memoryBytes = 1, accelerators = 0): Resources {
  return { processors, memoryBytes, accelerators };
}

function worker(number: number, changes: Partial<PlanWorker> = {}): PlanWorker {
  const instanceId = `worker-${number}`;
  return { instanceId, capacity: CAPACITY, free: CAPACITY, tasks: [], maxNewTasks: Infinity, ...changes };
}

function job(jobId: string, changes: Partial<WaitingJob> = {}): WaitingJob {
  const base = { teamId: 'red', priority: 'normal', demand: sized(8), submittedAtMs: 0 } as const;
  return { jobId, ...base, avoidedInstanceIds: new Set(), ...changes };
}

function team(teamId: string, changes: Partial<TeamUsage> = {}): TeamUsage {
  return { teamId, weight: 1, running: NO_RESOURCES, maxNewJobs: 100, ...changes };
}

function plan(input: Partial<PlanInput>) {
  return planPlacements({
    waiting: [],
    workers: [worker(1)],
    teams: [team('red'), team('blue')],
    policy: new BestFitPlacement(),
    waitedMs: () => 0,
    ...input,
  });
}

function task(jobId: string, changes: Partial<PreemptibleTask> = {}): PreemptibleTask {
  return {
    jobId,
    demand: sized(16, 64),
    throttled: false,
    checkpointable: true,
    unsavedMs: 5_000,
    remainingMs: 1_000,
    ...changes,
  };
}

describe('placement policies', () => {
  const candidates = [
    worker(1, { capacity: { ...CAPACITY, accelerators: 4 }, free: { ...CAPACITY, accelerators: 4 } }),
    worker(2),
    worker(3, { free: sized(10, 40) }),
  ];

  test('best fit chooses the fullest worker and avoids unused accelerators; first fit chooses the first', () => {
    expect(new BestFitPlacement().choose(sized(8), candidates)).toBe('worker-3');
    expect(new BestFitPlacement().choose(sized(20), candidates)).toBe('worker-2');
    expect(new BestFitPlacement().choose(sized(8, 1, 1), candidates)).toBe('worker-1');
    expect(new FirstFitPlacement().choose(sized(8), candidates)).toBe('worker-1');
    expect(new BestFitPlacement().choose(sized(64), candidates)).toBeNull();
  });
});

describe('planPlacements', () => {
  test('divides a pool that becomes full among teams by weight, urgent jobs first', () => {
    const waiting = ['red', 'blue'].flatMap((teamId) =>
      Array.from({ length: 8 }, (_, index) =>
        job(`${teamId}-${index}`, { teamId, demand: sized(4), submittedAtMs: index }),
      ),
    );
    const urgent = job('late', { teamId: 'blue', priority: 'urgent', demand: sized(8), submittedAtMs: 99 });
    const { placements } = plan({
      waiting: [...waiting, urgent],
      teams: [team('red', { weight: 2 }), team('blue')],
    });
    expect(placements[0]?.jobId).toBe('late');
    expect(placements.filter(({ jobId }) => jobId.startsWith('red'))).toHaveLength(5);
    expect(placements).toHaveLength(7);
  });

  test('places no more jobs of a team than its upper limit allows', () => {
    const waiting = [job('a'), job('b'), job('c')];
    expect(plan({ waiting, teams: [team('red', { maxNewJobs: 2 })] }).placements).toHaveLength(2);
  });

  test('a worker on which the job failed is chosen last, and a probed worker gets one task', () => {
    const retried = job('a', { avoidedInstanceIds: new Set(['worker-1']) });
    const workers = [worker(1, { free: sized(8, 8) }), worker(2, { maxNewTasks: 1 })];
    const { placements } = plan({ waiting: [retried, job('b'), job('c')], workers });
    expect(placements).toEqual([
      { jobId: 'a', instanceId: 'worker-2' },
      { jobId: 'b', instanceId: 'worker-1' },
    ]);
  });

  test('a large job that smaller ones have overtaken for 30 s gets a worker reserved', () => {
    const waiting = [
      job('large', { demand: sized(32) }),
      job('small', { demand: sized(4), submittedAtMs: 1 }),
    ];
    const workers = [worker(1, { free: sized(30, 100) })];
    expect(plan({ waiting, workers }).placements).toHaveLength(1);
    expect(plan({ waiting, workers, waitedMs: () => 30_000 }).placements).toEqual([]);
  });

  test('an estimate above the capacity of every worker is limited to the largest one', () => {
    expect(plan({ waiting: [job('a', { demand: sized(90, 300) })] }).placements).toHaveLength(1);
  });

  test('no plan overfills a worker or exceeds a limit, under random loads', () => {
    const sizes = fc.record({
      processors: fc.integer({ min: 1, max: 32 }),
      memoryBytes: fc.integer({ min: 1, max: 128 }),
    });
    const anyJob = fc.record({
      teamId: fc.constantFrom('red', 'blue'),
      priority: fc.constantFrom('urgent' as const, 'normal' as const, 'batch' as const),
      size: sizes,
    });
    fc.assert(
      fc.property(
        fc.array(anyJob, { maxLength: 40 }),
        fc.array(sizes, { minLength: 1, maxLength: 5 }),
        fc.nat(10),
        (jobs, frees, maxNewJobs) => {
          const waiting = jobs.map(({ size, ...fields }, index) =>
            job(`j${index}`, { ...fields, demand: { ...size, accelerators: 0 } }),
          );
          const workers = frees.map((free, index) => worker(index, { free: { ...free, accelerators: 0 } }));
          const teams = [team('red', { maxNewJobs }), team('blue')];
          const { placements } = plan({ waiting, workers, teams });
          const placedOn = (instanceId: string): Resources =>
            placements
              .filter((placement) => placement.instanceId === instanceId)
              .map(
                ({ jobId }) =>
                  waiting.find((waitingJob) => waitingJob.jobId === jobId)?.demand ?? NO_RESOURCES,
              )
              .reduce(addResources, NO_RESOURCES);
          expect(workers.every(({ instanceId, free }) => fitsInto(placedOn(instanceId), free))).toBe(true);
          const red = placements.filter(({ jobId }) =>
            waiting.some((waitingJob) => waitingJob.jobId === jobId && waitingJob.teamId === 'red'),
          );
          expect(red.length).toBeLessThanOrEqual(maxNewJobs);
        },
      ),
      { seed: 7, numRuns: 200 },
    );
  });
});

describe('choosePreemption', () => {
  const full = { free: sized(0, 0) };

  test('throttles if only processors are short', () => {
    const workers = [worker(1, { free: sized(0, 10), tasks: [task('b', { throttled: true }), task('a')] })];
    expect(choosePreemption(sized(8, 10), workers)?.actions).toEqual([{ jobId: 'a', action: 'throttle' }]);
  });

  test('checkpoints rather than stops, and preempts no more than is needed', () => {
    const workers = [
      worker(1, { ...full, tasks: [task('a', { checkpointable: false })] }),
      worker(2, { ...full, tasks: [task('b', { demand: sized(2, 8) }), task('c'), task('d')] }),
    ];
    const preemption = choosePreemption(sized(8, 32), workers);
    expect(preemption).toMatchObject({ instanceId: 'worker-2', actions: [{ action: 'checkpoint' }] });
    const tasks = [task('small', { demand: sized(2, 8) }), task('large', { checkpointable: false })];
    const mixed = choosePreemption(sized(8, 32), [worker(1, { ...full, tasks })]);
    expect(mixed?.actions).toEqual([{ jobId: 'large', action: 'stop' }]);
  });

  test('stops the task that loses least if none can be checkpointed', () => {
    const notCheckpointable = { checkpointable: false };
    const tasks = [
      task('a', { ...notCheckpointable, unsavedMs: 9_000 }),
      task('b', { ...notCheckpointable, unsavedMs: 10 }),
    ];
    const workers = [worker(1, { ...full, tasks })];
    expect(choosePreemption(sized(8, 32), workers)?.actions).toEqual([{ jobId: 'b', action: 'stop' }]);
    expect(choosePreemption(sized(8, 32), [worker(1, full)])).toBeNull();
    const ending = [worker(1, { ...full, tasks: [task('soon', { remainingMs: 5 }), task('later')] })];
    expect(choosePreemption(sized(8, 32), ending)?.actions).toEqual([
      { jobId: 'later', action: 'checkpoint' },
    ]);
  });
});
