/** Stand-in for the platform's list of machines and its commands. */
import { HttpService, pause, type ServiceCall, type ServiceReply } from './http_service';
import type { WorkerService } from './worker_service';

/** An order for a machine as the platform received it; the time is on the driver's monotonic clock. */
export interface MachineOrder {
  readonly machine: string;
  readonly what: string;
  readonly holder: string;
  readonly token: number;
  readonly atMs: number;
  readonly reply: string;
}

export interface Machine {
  readonly name: string;
  pool: string;
  state: 'up' | 'moving' | 'upkeep' | 'down';
  worker: WorkerService;
  token: number;
  readonly upkeeps: Set<number>;
}

export interface MachineServiceOptions {
  readonly machines: readonly Machine[];
  /** Creates the next worker of a machine, whose state is up again; the worker has begun its life. */
  readonly nextWorker: (machine: Machine) => Promise<WorkerService>;
  readonly waveMachines: (wave: number) => readonly string[];
  readonly record: (line: string) => void;
  readonly onOrder?: (order: MachineOrder) => void;
}

/** `move-s` and `upkeep-s`, in milliseconds. */
const MOVE_MS = 1_500;
const UPKEEP_MS = 2_000;

/**
 * Carries out orders with fencing tokens (`require-fence` true).
 *
 * @example
 * ```ts
 * const machines = new MachineService({ machines: [], nextWorker, waveMachines, record });
 * await machines.service.listen();
 * ```
 */
export class MachineService {
  readonly service = new HttpService((call) => this.answer(call));
  readonly orders: MachineOrder[] = [];

  constructor(private readonly options: MachineServiceOptions) {}

  private answer(call: ServiceCall): ServiceReply {
    if (call.path === '/-/machines') return { status: 200, body: { machines: this.list() } };
    if (call.path === '/-/machine-move' || call.path === '/-/machine-upkeep') return this.order(call);
    return { status: 404, body: {} };
  }

  private list(): readonly object[] {
    return this.options.machines.map(({ name, pool, state, worker }) => ({
      machine: name,
      pool,
      state,
      zone: worker.options.zone,
      labels: ['a', worker.options.rack],
      capacity: { cpu: worker.options.cpu, 'mem-mb': worker.options.memMb },
      id: state === 'up' ? worker.options.workerId : '',
    }));
  }

  private order(call: ServiceCall): ServiceReply {
    const isMove = call.path === '/-/machine-move';
    const name = String(call.body.machine);
    const what = isMove ? `move to ${String(call.body.pool)}` : `upkeep for wave ${String(call.body.wave)}`;
    const token = Number(call.headers['fencing-token'] ?? 0);
    const machine = this.options.machines.find((known) => known.name === name);
    const reply = this.decide(machine, isMove, call, token);
    const order = {
      machine: name,
      what,
      holder: String(call.headers['lease-holder']),
      token,
      atMs: performance.now(),
      reply,
    };
    this.orders.push(order);
    this.options.record(`order ${what} for ${name} by ${order.holder} token ${token}: ${reply}`);
    this.options.onOrder?.(order);
    if (reply === '200') return { status: 200, body: {} };
    return reply === '400' ? { status: 400, body: {} } : { status: 409, body: { reason: reply } };
  }

  private decide(machine: Machine | undefined, isMove: boolean, call: ServiceCall, token: number): string {
    if (machine === undefined) return '400';
    if (token < machine.token) return 'fence';
    machine.token = token;
    const wave = Number(call.body.wave);
    const pool = String(call.body.pool);
    if (isMove ? machine.pool === pool : machine.upkeeps.has(wave)) return '200';
    if (!isMove && !this.options.waveMachines(wave).includes(machine.name)) return 'wave';
    if (machine.state !== 'up') return 'busy';
    if (isMove) machine.pool = pool;
    else machine.upkeeps.add(wave);
    machine.state = isMove ? 'moving' : 'upkeep';
    machine.worker.leave();
    void this.bringBack(machine, isMove ? MOVE_MS : UPKEEP_MS);
    return '200';
  }

  private async bringBack(machine: Machine, delayMs: number): Promise<void> {
    await pause(delayMs);
    machine.worker = await this.options.nextWorker(machine);
    machine.state = 'up';
  }
}
