/** Waits until a committed head is in effect on every entry instance. */
import type { Clock } from '../kernel/clock';
import { FENCE_WAIT_MS } from './freshness';
import type { Head } from './head';

/** A commit whose effect elsewhere is not known yet. */
export interface PendingCommit {
  /** Resolves once no entry instance acts on a head older than `head`. */
  untilInEffect(head: Head): Promise<void>;
  /** Must be called when the commit has failed or is in effect. */
  end(): void;
}

/** While a commit is pending, the barrier keeps this instance from vouching for the old head. */
export abstract class EffectBarrier {
  abstract begin(): PendingCommit;
}

/** Waits out the evidence of every instance that could still act on an older head. */
export class FenceWaitBarrier extends EffectBarrier {
  constructor(private readonly clock: Clock) {
    super();
  }

  override begin(): PendingCommit {
    return {
      untilInEffect: () => this.clock.delay(FENCE_WAIT_MS),
      end: () => undefined,
    };
  }
}
