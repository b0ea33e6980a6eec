/** Guards against a deadline that comes early after it was converted by two processes. */
import { StoreClock } from './store_clock';

describe('StoreClock', () => {
  test('converts towards the later time in both directions', () => {
    const clock = new StoreClock();
    clock.observe({ storeMs: 70_000, sentAtMs: 1_000, receivedAtMs: 1_200 });
    expect(clock.toStoreMs(6_000, 500)).toBe(75_000);
    expect(clock.toLocalMs(75_000)).toBe(6_200);
  });

  test('converts no deadline that began after the latest call was sent', () => {
    const clock = new StoreClock();
    expect(clock.toStoreMs(6_000, 0)).toBeNull();
    clock.observe({ storeMs: 70_000, sentAtMs: 1_000, receivedAtMs: 1_200 });
    expect(clock.toStoreMs(6_000, 1_100)).toBeNull();
  });

  test('a suspension between the start of a deadline and the latest call makes the deadline late, not early', () => {
    const clock = new StoreClock();
    // 3 s pass on the store's clock and 1 s on the monotonic one.
    clock.observe({ storeMs: 10_000, sentAtMs: 1_000, receivedAtMs: 1_000 });
    clock.observe({ storeMs: 13_000, sentAtMs: 2_000, receivedAtMs: 2_000 });
    expect(clock.toStoreMs(1_500 + 5_000, 1_500)).toBeGreaterThanOrEqual(10_500 + 5_000);
  });
});
