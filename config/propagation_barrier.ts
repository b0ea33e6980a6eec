/** Waits until a committed head is in effect on every entry instance. */
import type { Clock } from '../kernel/clock';
import type { Counters } from '../telemetry/counters';
import { FENCE_WAIT_MS } from './freshness';
import type { Head } from './head';
import type { HeadExchange } from './head_exchange';

/** A commit that may not be in effect on every entry instance yet. */
export interface PendingCommit {
  /** Resolves once no entry instance acts on a head older than `head`. */
  untilInEffect(head: Head): Promise<void>;
  /** Must be called when the commit has failed or is in effect; allows confirmations of the head again. */
  end(): void;
}

/** Tracks pending commits; while one is pending, this instance does not confirm the old head to its peers. */
export abstract class PropagationBarrier {
  /** Begins a pending commit; must be called before the transaction is sent. */
  abstract begin(): PendingCommit;
}

export interface AcknowledgementBarrierOptions {
  readonly clock: Clock;
  readonly exchange: HeadExchange;
  readonly counters: Counters;
  /** Sends the head to the peers without waiting for the next exchange. */
  readonly announce: () => void;
}

/**
 * Waits until every registered member has acknowledged the head, but for at most
 * {@link FENCE_WAIT_MS}. After that time every member that has not seen the head is
 * no longer fresh and admits no work.
 */
export class AcknowledgementBarrier extends PropagationBarrier {
  constructor(private readonly options: AcknowledgementBarrierOptions) {
    super();
  }

  override begin(): PendingCommit {
    return {
      untilInEffect: (head) => this.untilInEffect(head),
      end: this.options.exchange.suspendConfirmations(),
    };
  }

  private untilInEffect(head: Head): Promise<void> {
    const { clock, exchange, counters, announce } = this.options;
    return new Promise((resolve) => {
      const finish = (reason: string): void => {
        timer.cancel();
        unsubscribe();
        counters.increment('config.in_effect', reason);
        resolve();
      };
      const timer = clock.schedule(FENCE_WAIT_MS, () => {
        finish('waited');
      });
      const check = (): void => {
        if (exchange.isSeenByAll(head)) finish('acknowledged');
      };
      const unsubscribe = exchange.subscribe(check);
      announce();
      check();
    });
  }
}
