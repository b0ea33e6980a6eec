/** Runs a whole deployment as separate processes on the loopback interface. */
import { join } from 'node:path';
import { request } from 'undici';
import { ManagedProcess } from './managed_process';

/** Root of the compiled scripts, which the processes run even if a test loads this module from source. */
const SCRIPT_ROOT = __filename.endsWith('.ts') ? join(__dirname, '..', 'dist') : join(__dirname, '..');
const DEFAULT_REBOOT_MS = 3_000;
export const OPERATOR_TOKEN = 'operator-token-of-the-demo';

export interface DeploymentOptions {
  readonly entryInstanceCount: number;
  readonly workerCount: number;
  /** Time that a worker takes to serve a request, in milliseconds. */
  readonly serviceMs: number;
  /** Time that an instance takes to reboot, in milliseconds. */
  readonly rebootMs?: number;
}

export interface JsonResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Entry instances, and stand-ins (local simulations) for workers, the table
 * service and the platform.
 *
 * @example
 * ```ts
 * const deployment = await Deployment.start({ entryInstanceCount: 3, workerCount: 6, serviceMs: 5 });
 * await deployment.applyTicket({ number: 1, set: { ... } });
 * await deployment.stop();
 * ```
 */
export class Deployment {
  private constructor(
    readonly table: ManagedProcess,
    readonly platform: ManagedProcess,
    readonly workers: readonly ManagedProcess[],
    readonly entryInstances: readonly ManagedProcess[],
  ) {}

  static async start(options: DeploymentOptions): Promise<Deployment> {
    const table = await startStandin('table_main.js', []);
    const platform = await startStandin('platform_main.js', [
      '--reboot-ms',
      String(options.rebootMs ?? DEFAULT_REBOOT_MS),
    ]);
    const workers = await Promise.all(
      Array.from({ length: options.workerCount }, (_, index) =>
        startStandin('worker_main.js', [
          '--instance-id',
          `worker-${index + 1}`,
          '--service-ms',
          String(options.serviceMs),
        ]),
      ),
    );
    await sendJson(`http://127.0.0.1:${platform.port('port')}/instances`, 'POST', '', {
      instanceIds: workers.map((_, index) => `worker-${index + 1}`),
    });
    const entryInstances = await Promise.all(
      Array.from({ length: options.entryInstanceCount }, (_, index) =>
        startEntryInstance(index + 1, table.port('port'), platform.port('port')),
      ),
    );
    return new Deployment(table, platform, workers, entryInstances);
  }

  /** Sends a ticket to the first entry instance, which responds once the ticket is in effect. */
  async applyTicket(ticket: Readonly<Record<string, unknown>>): Promise<JsonResponse> {
    return sendJson(`${this.operatorUrl(0)}/v1/tickets`, 'POST', OPERATOR_TOKEN, ticket);
  }

  callerUrl(entryIndex: number): string {
    return `http://127.0.0.1:${this.entryInstanceAt(entryIndex).port('callerPort')}`;
  }

  operatorUrl(entryIndex: number): string {
    return `http://127.0.0.1:${this.entryInstanceAt(entryIndex).port('operatorPort')}`;
  }

  /**
   * Stops the entry instances gracefully and kills everything else. Resolves with
   * the exit codes of the entry instances.
   */
  async stop(): Promise<readonly (number | null)[]> {
    const exitCodes = await Promise.all(this.entryInstances.map((entry) => entry.stop()));
    await Promise.all([...this.workers, this.platform, this.table].map((standin) => standin.stop('SIGKILL')));
    return exitCodes;
  }

  private entryInstanceAt(index: number): ManagedProcess {
    const entry = this.entryInstances[index];
    if (entry === undefined) throw new Error(`There is no entry instance with the index ${index}.`);
    return entry;
  }
}

/** Sends a request with an optional JSON body and reads the JSON response. */
export async function sendJson(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  token: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await request(url, {
    method,
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const parsed = (await response.body.json()) as Readonly<Record<string, unknown>>;
  return { status: response.statusCode, headers: response.headers, body: parsed };
}

function startStandin(script: string, args: readonly string[]): Promise<ManagedProcess> {
  return ManagedProcess.start({
    script: join(SCRIPT_ROOT, 'standins', script),
    args,
    isReadyLine: (line) => line.port !== undefined,
  });
}

function startEntryInstance(
  ordinal: number,
  tablePort: number,
  platformPort: number,
): Promise<ManagedProcess> {
  const flags = {
    'member-id': `entry-${ordinal}`,
    'availability-zone': `zone-${((ordinal - 1) % 3) + 1}`,
    'caller-port': '0',
    'operator-port': '0',
    'peer-port': '0',
    'table-url': `http://127.0.0.1:${tablePort}`,
    'platform-url': `http://127.0.0.1:${platformPort}`,
    'operator-token': OPERATOR_TOKEN,
    // Short, since no load balancer has to notice that an entry instance is leaving.
    'balancer-grace-ms': '200',
  };
  return ManagedProcess.start({
    script: join(SCRIPT_ROOT, 'entry', 'entry_main.js'),
    args: Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]),
    // Log event 100 is written when the entry instance has started.
    isReadyLine: (line) => line.eventId === 100,
  });
}
