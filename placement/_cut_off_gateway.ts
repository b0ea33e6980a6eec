/** A gateway that does not reach some of the workers. */
import {
  WorkerGateway,
  WorkerUnreachableError,
  type LeaseResponse,
  type RenewLeaseCommand,
  type RunCommand,
  type StartCommand,
  type ThrottleCommand,
  type WorkerAddress,
  type WorkerResponse,
} from '../scheduling/worker_gateway';

export class CutOffGateway extends WorkerGateway {
  constructor(
    private readonly gateway: WorkerGateway,
    private readonly isReached: (workerId: string) => boolean,
  ) {
    super();
  }

  override start(worker: WorkerAddress, command: StartCommand): Promise<WorkerResponse> {
    return this.reach(worker, () => this.gateway.start(worker, command));
  }

  override stop(worker: WorkerAddress, command: RunCommand): Promise<WorkerResponse> {
    return this.reach(worker, () => this.gateway.stop(worker, command));
  }

  override throttle(worker: WorkerAddress, command: ThrottleCommand): Promise<WorkerResponse> {
    return this.reach(worker, () => this.gateway.throttle(worker, command));
  }

  override renewLease(worker: WorkerAddress, command: RenewLeaseCommand): Promise<LeaseResponse> {
    return this.reach(worker, () => this.gateway.renewLease(worker, command));
  }

  override connectionChanges(worker: WorkerAddress): number {
    return this.gateway.connectionChanges(worker);
  }

  override disconnect(worker: WorkerAddress): void {
    this.gateway.disconnect(worker);
  }

  private async reach<T>({ workerId }: WorkerAddress, call: () => Promise<T>): Promise<T> {
    if (this.isReached(workerId)) return call();
    await Promise.resolve();
    throw new WorkerUnreachableError('The worker is unreachable.');
  }
}
