/** Guards against maintenance of too many or needed instances at once, and of instances that still run tasks. */
import { planWave, type WaveInstance, type WaveRequest } from './wave_plan';

function instance(instanceId: string, fields: Partial<WaveInstance> = {}): WaveInstance {
  return {
    instanceId,
    isUp: true,
    isDispensable: false,
    runCount: 0,
    hasLongRunningTasks: false,
    isDraining: false,
    ...fields,
  };
}

function request(fields: Partial<WaveRequest>): WaveRequest {
  return {
    remaining: [],
    downCount: 0,
    maxConcurrent: 2,
    timeLeftMs: 60_000,
    timeLimitMs: 60_000,
    expectedDownMs: 5_000,
    ...fields,
  };
}

describe('planWave', () => {
  test('maintains no instance beyond the limit, also when some are down already', () => {
    const remaining = ['a', 'b', 'c'].map((id) => instance(id, { isDispensable: true }));
    expect(planWave(request({ remaining })).maintain).toEqual(['a', 'b']);
    expect(planWave(request({ remaining, downCount: 1 })).maintain).toEqual(['a']);
    expect(planWave(request({ remaining, downCount: 3 })).maintain).toEqual([]);
  });

  test('maintains idle instances that their pool needs only when the time is short', () => {
    const remaining = [instance('a'), instance('b', { isDispensable: true })];
    expect(planWave(request({ remaining })).maintain).toEqual(['b']);
    expect(planWave(request({ remaining, timeLeftMs: 9_000 })).maintain).toEqual(['b', 'a']);
  });

  test('drains busy instances only when the time is short, the least busy first', () => {
    const remaining = [instance('a', { runCount: 3 }), instance('b', { runCount: 1 })];
    expect(planWave(request({ remaining, maxConcurrent: 1 })).drain).toEqual([]);
    const urgent = request({ remaining, maxConcurrent: 1, timeLeftMs: 9_000 });
    expect(planWave(urgent)).toEqual({ maintain: [], drain: ['b'] });
  });

  test('drains instances with long-running tasks before the time is short', () => {
    const remaining = [
      instance('a', { runCount: 3, hasLongRunningTasks: true }),
      instance('b', { runCount: 1 }),
    ];
    expect(planWave(request({ remaining, timeLeftMs: 40_000 })).drain).toEqual([]);
    expect(planWave(request({ remaining, timeLeftMs: 30_000 })).drain).toEqual(['a']);
  });

  test('never maintains an instance that still runs something or is not up', () => {
    const remaining = [instance('a', { runCount: 1, isDraining: true }), instance('b', { isUp: false })];
    expect(planWave(request({ remaining, timeLeftMs: 0 })).maintain).toEqual([]);
  });
});
