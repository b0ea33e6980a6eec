/** Stand-in for the platform's list of machines. There is one pool and no wave, so that no order fits. */
import { HttpService, type ServiceCall, type ServiceReply } from './http_service';
import type { WorkerService } from './worker_service';
import { WIRE } from './wire_names';

export interface Machine {
  readonly name: string;
  readonly pool: string;
  readonly worker: WorkerService;
}

/**
 * @example
 * ```ts
 * const machines = new MachineService([], (line) => log.push(line));
 * await machines.service.listen();
 * ```
 */
export class MachineService {
  readonly service = new HttpService((call) => this.answer(call));

  constructor(
    private readonly machines: readonly Machine[],
    private readonly record: (line: string) => void,
  ) {}

  private answer(call: ServiceCall): ServiceReply {
    if (call.path === '/-/machines') return { status: 200, body: { machines: this.list() } };
    this.record(`order ${call.path} for ${String(call.body.machine)} is rejected`);
    if (call.path === WIRE.machineMove) return { status: 400, body: {} };
    if (call.path === WIRE.machineUpkeep) return { status: 409, body: { reason: 'wave' } };
    return { status: 404, body: {} };
  }

  private list(): readonly object[] {
    return this.machines.map(({ name, pool, worker }) => ({
      machine: name,
      pool,
      state: worker.isUp() ? 'up' : 'down',
      zone: worker.options.zone,
      labels: ['a', worker.options.rack],
      capacity: { cpu: worker.options.cpu, [WIRE.memMb]: worker.options.memMb },
      id: worker.options.workerId,
    }));
  }
}
