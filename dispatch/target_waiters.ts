/** Requests that wait for a free connection to a target of their pool. */
import type { Clock } from '../kernel/clock';

export type WaitEnd = 'woken' | 'deadline' | 'cancelled';

interface Waiter {
  readonly wake: (end: WaitEnd) => void;
}

export class TargetWaiters {
  private readonly byPool = new Map<string, readonly Waiter[]>();

  constructor(private readonly clock: Clock) {}

  /** Resolves when {@link wakeOne} reaches this request, at the deadline, or when the caller gives up. */
  wait(poolId: string, deadlineAtMs: number, signal: AbortSignal): Promise<WaitEnd> {
    return new Promise((resolve) => {
      const finish = (end: WaitEnd): void => {
        this.remove(poolId, waiter);
        timer.cancel();
        signal.removeEventListener('abort', onAbort);
        resolve(end);
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

  /** Lets the request that has waited longest try again. */
  wakeOne(poolId: string): void {
    this.byPool.get(poolId)?.[0]?.wake('woken');
  }

  private remove(poolId: string, waiter: Waiter): void {
    const left = (this.byPool.get(poolId) ?? []).filter((other) => other !== waiter);
    if (left.length > 0) this.byPool.set(poolId, left);
    else this.byPool.delete(poolId);
  }
}
