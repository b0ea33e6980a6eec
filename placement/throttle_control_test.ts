/** Guards against fillers that slow down serving tasks, and against speeds that oscillate. */
import { nextSpeedPercent } from './throttle_control';

describe('nextSpeedPercent', () => {
  test('slows down fast and finally stops while the latency exceeds the target', () => {
    const speeds: number[] = [];
    for (let speed = 100; speed > 0; speed = nextSpeedPercent(speed, 1.2)) speeds.push(speed);
    expect(speeds.length).toBeLessThanOrEqual(4);
    expect(nextSpeedPercent(0, 1.2)).toBe(0);
  });

  test('speeds up slowly while the latency is well below the target, up to full speed', () => {
    expect(nextSpeedPercent(0, 0.1)).toBeGreaterThan(0);
    expect(nextSpeedPercent(0, 0.1)).toBeLessThan(50);
    expect(nextSpeedPercent(95, 0.1)).toBe(100);
  });

  test('does not change near the target, so that it does not oscillate', () => {
    expect(nextSpeedPercent(40, 0.7)).toBe(40);
  });

  test('treats an unknown speed as 0', () => {
    expect(nextSpeedPercent(-1, 0.1)).toBeLessThan(50);
  });
});
