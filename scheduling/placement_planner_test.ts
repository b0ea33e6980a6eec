/** Guards room, limits and wishes when tasks are placed. */
import fc from 'fast-check';
import { STEP } from '../placement/_placement_harness';
import type { StepDefinition } from './job_definition';
import { planPool, type PlanStep, type PlanWorker } from './placement_planner';

function worker(workerId: string, processors: number, fields: Partial<PlanWorker> = {}): PlanWorker {
  const capacity = { processors, memoryBytes: 1_000, accelerators: 0 };
  return {
    workerId,
    rack: 'r1',
    labels: [],
    capacity,
    free: capacity,
    isDueForMaintenance: false,
    maxNewTasks: Infinity,
    ...fields,
  };
}

function step(
  stepId: string,
  tasks: number,
  fields: Partial<StepDefinition> = {},
  more: Partial<PlanStep> = {},
): PlanStep {
  return {
    stepKey: stepId,
    teamId: null,
    definition: { ...STEP, taskCount: tasks, ...fields },
    waiting: Array.from({ length: tasks }, (_, index) => index),
    runsByWorker: new Map(),
    failedWorkerIds: new Set(),
    allowedWorkerIds: null,
    mayRunRemote: true,
    maxStarts: tasks,
    ...more,
  };
}

const NO_TEAMS = new Map();

describe('planPool', () => {
  test('places the part of a step that fits', () => {
    const { assignments, unplaced } = planPool({
      workers: [worker('a', 2)],
      steps: [step('s', 3)],
      teamHeadroom: NO_TEAMS,
    });
    expect(assignments).toHaveLength(2);
    expect(unplaced).toEqual(['s']);
  });

  test('places a gang whole or not at all, and leaves its room to others', () => {
    const steps = [step('gang', 3, { isGang: true }), step('s', 2)];
    const { assignments } = planPool({ workers: [worker('a', 2)], steps, teamHeadroom: NO_TEAMS });
    expect(assignments.map(({ stepKey: stepId }) => stepId)).toEqual(['s', 's']);
  });

  test('keeps to labels, to the limit on one worker and to permissions', () => {
    const workers = [worker('a', 8, { labels: ['fast'] }), worker('b', 8)];
    const labelled = step('s', 3, { requiredLabel: 'fast', maxPerWorker: 2 });
    expect(planPool({ workers, steps: [labelled], teamHeadroom: NO_TEAMS }).assignments).toHaveLength(2);
    const permitted = step('p', 1, {}, { allowedWorkerIds: new Set(['b']) });
    expect(planPool({ workers, steps: [permitted], teamHeadroom: NO_TEAMS }).assignments[0]?.workerId).toBe(
      'b',
    );
  });

  test('keeps lasting tasks off instances that are due for maintenance where another one has room', () => {
    const workers = [worker('due', 8, { isDueForMaintenance: true }), worker('free', 8)];
    const place = (tasks: number): readonly string[] =>
      planPool({
        workers,
        steps: [step('s', tasks, { isLongRunning: true, maxPerWorker: 1 })],
        teamHeadroom: NO_TEAMS,
      }).assignments.map(({ workerId }) => workerId);
    expect(place(1)).toEqual(['free']);
    expect(place(2)).toEqual(['free', 'due']);
  });

  test('puts a rack-sensitive step on one rack if one has room', () => {
    const workers = [
      worker('a', 3, { rack: 'r1' }),
      worker('b', 2, { rack: 'r2' }),
      worker('c', 2, { rack: 'r2' }),
    ];
    const { assignments } = planPool({
      workers,
      steps: [step('s', 4, { isRackSensitive: true })],
      teamHeadroom: NO_TEAMS,
    });
    expect(new Set(assignments.map(({ workerId }) => workerId))).toEqual(new Set(['b', 'c']));
  });

  test('waits for the rack of the data while it may not run elsewhere', () => {
    const far = step('s', 1, { dataRack: 'r9' }, { mayRunRemote: false });
    expect(planPool({ workers: [worker('a', 1)], steps: [far], teamHeadroom: NO_TEAMS }).assignments).toEqual(
      [],
    );
  });

  test('spreads lasting tasks over workers', () => {
    const workers = [worker('a', 8), worker('b', 8)];
    const { assignments } = planPool({
      workers,
      steps: [step('s', 2, { isLongRunning: true })],
      teamHeadroom: NO_TEAMS,
    });
    expect(new Set(assignments.map(({ workerId }) => workerId)).size).toBe(2);
  });

  test('never exceeds a worker or the limit of a team', () => {
    const steps = fc.array(
      fc.record({
        tasks: fc.integer({ min: 1, max: 6 }),
        processors: fc.integer({ min: 1, max: 5 }),
        gang: fc.boolean(),
      }),
      { maxLength: 8 },
    );
    fc.assert(
      fc.property(steps, fc.integer({ min: 0, max: 20 }), (wanted, teamProcessors) => {
        const workers = [worker('a', 8), worker('b', 4)];
        const demand = (processors: number) => ({ processors, memoryBytes: 1, accelerators: 0 });
        const planned = wanted.map(({ tasks, processors, gang }, index) =>
          step(String(index), tasks, { demand: demand(processors), isGang: gang }, { teamId: 't' }),
        );
        const teamRoom = new Map([['t', { processors: teamProcessors, memoryBytes: 100, accelerators: 0 }]]);
        const { assignments } = planPool({ workers, steps: planned, teamHeadroom: teamRoom });
        const used = (id: string): number =>
          assignments
            .filter(({ workerId }) => workerId === id)
            .reduce((sum, { stepKey: stepId }) => sum + (wanted[Number(stepId)]?.processors ?? 0), 0);
        expect(used('a')).toBeLessThanOrEqual(8);
        expect(used('b')).toBeLessThanOrEqual(4);
        expect(used('a') + used('b')).toBeLessThanOrEqual(teamProcessors);
        wanted.forEach(({ tasks, gang }, index) => {
          const placed = assignments.filter(({ stepKey: stepId }) => stepId === String(index)).length;
          if (gang) expect([0, tasks]).toContain(placed);
        });
      }),
      { seed: 20261204 },
    );
  });
});
