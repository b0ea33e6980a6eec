/** Guards tasks that serve against those that fill beside them. */
import { nextSpeedPercent } from './throttle_control';

describe('nextPace', () => {
  test('slows down fast and stops at last while a target is in danger', () => {
    const paces: number[] = [];
    for (let pace = 100; pace > 0; pace = nextSpeedPercent(pace, 1.2)) paces.push(pace);
    expect(paces.length).toBeLessThanOrEqual(4);
    expect(nextSpeedPercent(0, 1.2)).toBe(0);
  });

  test('speeds up slowly once there is room, and never beyond full speed', () => {
    expect(nextSpeedPercent(0, 0.1)).toBeGreaterThan(0);
    expect(nextSpeedPercent(0, 0.1)).toBeLessThan(50);
    expect(nextSpeedPercent(95, 0.1)).toBe(100);
  });

  test('stays as it is near the target, so that it does not swing', () => {
    expect(nextSpeedPercent(40, 0.7)).toBe(40);
  });

  test('takes a pace that may not have been carried out as stopped', () => {
    expect(nextSpeedPercent(-1, 0.1)).toBeLessThan(50);
  });
});
