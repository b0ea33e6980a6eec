/** Counters of rejections, retries and other events. */
import { StatsD } from 'hot-shots';

/** Counts events by name; `reason` distinguishes the causes of one event. */
export abstract class Counters {
  abstract increment(name: string, reason?: string, amount?: number): void;

  /** Sends buffered counts and closes the socket. */
  abstract close(): Promise<void>;
}

/** Stores counts in memory, for tests and for the status page. */
export class MemoryCounters extends Counters {
  private readonly counts = new Map<string, number>();

  override increment(name: string, reason = '', amount = 1): void {
    const key = reason === '' ? name : `${name}:${reason}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + amount);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  /** Returns the counts by `name` or `name:reason`. */
  snapshot(): ReadonlyMap<string, number> {
    return new Map(this.counts);
  }
}

export interface StatsdCountersOptions {
  readonly host: string;
  readonly port: number;
}

/** Sends counts to a StatsD server over UDP and stores them in memory as well. */
export class StatsdCounters extends MemoryCounters {
  private readonly client: StatsD;

  constructor(options: StatsdCountersOptions) {
    super();
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'endivestand.',
      // An unreachable metrics server must not disturb the process.
      errorHandler: () => undefined,
    });
  }

  override increment(name: string, reason = '', amount = 1): void {
    super.increment(name, reason, amount);
    this.client.increment(name, amount, reason === '' ? {} : { reason });
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => {
        resolve();
      });
    });
  }
}
