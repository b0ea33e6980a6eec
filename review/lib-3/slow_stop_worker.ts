/** The project's stand-in for a worker, with a time that a stop takes. */
import {
  StandinWorker,
  type StandinOrder,
  type StandinRejection,
  type StandinWorkerOptions,
} from '../../platform/standins/standin_worker';

export class SlowStopWorker extends StandinWorker {
  /** `stopMs` is the time that a stop takes, at most `stop-grace-ms`. */
  constructor(
    private readonly stopMs: number,
    options: StandinWorkerOptions,
  ) {
    super(options);
  }

  override stop(order: StandinOrder): StandinRejection | null {
    if (
      this.stopMs === 0 ||
      !this.listedRuns().some(([name, run]) => name === order.taskName && run === order.run)
    )
      return super.stop(order);
    setTimeout(() => {
      super.stop(order);
    }, this.stopMs);
    return null;
  }
}
