/** Guards against runs that count as ended before the worker's lease has. */
import { WorkerLease } from './worker_lease';

const MAX_LEASE_MS = 10_000;

describe('WorkerLease', () => {
  test('a request after a long idle time does not outlast the expected end on a slow clock', () => {
    const lease = new WorkerLease({ maxLeaseMs: MAX_LEASE_MS, nowMs: 0 });
    lease.recordClock(5_000, 0);
    const idleMs = 60_000;
    const untilMs = lease.requestUntilMs(idleMs);
    // The worker's clock is 2% slow; it may carry out the start when the lease has almost ended.
    const workerClockAtEndMs = 5_000 + lease.expiredAtMs() * 0.98;
    expect(untilMs).toBeLessThanOrEqual(workerClockAtEndMs);
  });

  test('a known end holds until the lease is requested again', () => {
    const lease = new WorkerLease({ maxLeaseMs: MAX_LEASE_MS, nowMs: 0, knownEndMs: 3_000 });
    expect(lease.requestUntilMs(100)).toBe(0);
    expect(lease.expiredAtMs()).toBe(3_000);
    lease.recordClock(0, 200);
    lease.requestUntilMs(200);
    expect(lease.expiredAtMs()).toBeGreaterThan(200 + MAX_LEASE_MS);
  });
});
