/** Requests that wait for a free connection to a target of their pool. */
import type { Clock } from '../kernel/clock';

export type WakeReason = 'woken' | 'deadline' | 'cancelled';

interface Waiter {
  readonly wake: (reason: WakeReason) => void;
}

export class TargetWaitQueue {
  private readonly byPool = new Map<string, readonly Waiter[]>();

  constructor(private readonly clock: Clock) {}

  /** Resolves when {@link wakeOne} wakes this request, at the deadline, or when the caller disconnects. */
  wait(poolId: string, deadlineAtMs: number, signal: AbortSignal): Promise<WakeReason> {
    return new Promise((resolve) => {
      const finish = (reason: WakeReason): void => {
        this.remove(poolId, waiter);
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
        resolve(reason);
      };
      const onAbort = (): void => {
        finish('cancelled');
      };
      const waiter: Waiter = { wake: finish };
      const timer = this.clock.schedule(Math.max(0, deadlineAtMs - this.clock.monotonicMs()), () => {
        finish('deadline');
      });
      signal.addEventListener('abort', onAbort);
      this.byPool.set(poolId, [...(this.byPool.get(poolId) ?? []), waiter]);
    });
  }

  /** Wakes the request that has waited longest. */
  wakeOne(poolId: string): void {
    this.byPool.get(poolId)?.[0]?.wake('woken');
  }

  private remove(poolId: string, waiter: Waiter): void {
    const remaining = (this.byPool.get(poolId) ?? []).filter((other) => other !== waiter);
    if (remaining.length > 0) this.byPool.set(poolId, remaining);
    else this.byPool.delete(poolId);
  }
}
