/** Waits until a committed head is in effect on every entry instance. */
import type { Clock } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { FENCE_WAIT_MS } from './freshness';
import type { Head } from './head';
import type { HeadExchange } from './head_exchange';

/** A commit whose effect elsewhere is not known yet. */
export interface PendingCommit {
  /** Resolves once no entry instance acts on a head older than `head`. */
  untilInEffect(head: Head): Promise<void>;
  /** Must be called when the commit has failed or is in effect. */
  end(): void;
}

/** While a commit is pending, the barrier keeps this instance from vouching for the old head. */
export abstract class PropagationBarrier {
  abstract begin(): PendingCommit;
}

export interface AcknowledgementBarrierOptions {
  readonly clock: Clock;
  readonly exchange: HeadExchange;
  readonly counters: Counters;
  /** Tells the peers about the head without waiting for the next exchange. */
  readonly announce: () => void;
}

/**
 * A head is in effect once every registered member has seen it, and at the
 * latest {@link FENCE_WAIT_MS} after the commit, because by then every member
 * that has not seen it has stopped.
 */
export class AcknowledgementBarrier extends PropagationBarrier {
  constructor(private readonly options: AcknowledgementBarrierOptions) {
    super();
  }

  override begin(): PendingCommit {
    return {
      untilInEffect: (head) => this.untilInEffect(head),
      end: this.options.exchange.suspendPromises(),
    };
  }

  private untilInEffect(head: Head): Promise<void> {
    const { clock, exchange, counters, announce } = this.options;
    return new Promise((resolve) => {
      const finish = (reason: string): void => {
        timer.cancel();
        unwatch();
        counters.increment('config.in_effect', reason);
        resolve();
      };
      const timer = clock.schedule(FENCE_WAIT_MS, () => {
        finish('waited');
      });
      const check = (): void => {
        if (exchange.isSeenByAll(head)) finish('acknowledged');
      };
      const unwatch = exchange.watch(check);
      announce();
      check();
    });
  }
}
