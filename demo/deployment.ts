/** A whole deployment as separate processes on the loopback interface. */
import { join } from 'node:path';
import { request } from 'undici';
import { ManagedProcess } from './child_process';

/** Processes run compiled scripts, also when a test loads this module from its source. */
const ROOT = __filename.endsWith('.ts') ? join(__dirname, '..', 'dist') : join(__dirname, '..');
const DEFAULT_REBOOT_MS = 3_000;
export const OPERATOR_TOKEN = 'operator-token-of-the-demo';

export interface DeploymentOptions {
  readonly entryInstances: number;
  readonly workers: number;
  /** Time that a worker takes for a request, in milliseconds. */
  readonly serviceMs: number;
  /** Time that an instance takes to reboot, in milliseconds. */
  readonly rebootMs?: number;
}

export interface JsonAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Runs the stand-ins of the table service and the platform, workers and entry instances.
 *
 * @example
 * ```ts
 * const deployment = await Deployment.start({ entryInstances: 3, workers: 6, serviceMs: 5 });
 * await deployment.applyTicket({ number: 1, set: { ... } });
 * await deployment.stop();
 * ```
 */
export class Deployment {
  private constructor(
    readonly table: ManagedProcess,
    readonly platform: ManagedProcess,
    readonly workers: readonly ManagedProcess[],
    readonly entries: readonly ManagedProcess[],
  ) {}

  static async start(options: DeploymentOptions): Promise<Deployment> {
    const table = await startStandin('table_main.js', []);
    const platform = await startStandin('platform_main.js', [
      '--reboot-ms',
      String(options.rebootMs ?? DEFAULT_REBOOT_MS),
    ]);
    const workers = await Promise.all(
      Array.from({ length: options.workers }, (_, index) =>
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
    const entries = await Promise.all(
      Array.from({ length: options.entryInstances }, (_, index) =>
        startEntry(index + 1, table.port('port'), platform.port('port')),
      ),
    );
    return new Deployment(table, platform, workers, entries);
  }

  /** Sends a ticket through the first entry instance; resolves once it is in effect. */
  async applyTicket(ticket: Readonly<Record<string, unknown>>): Promise<JsonAnswer> {
    return sendJson(`${this.operatorUrl(0)}/v1/tickets`, 'POST', OPERATOR_TOKEN, ticket);
  }

  callerUrl(entry: number): string {
    return `http://127.0.0.1:${this.entry(entry).port('callerPort')}`;
  }

  operatorUrl(entry: number): string {
    return `http://127.0.0.1:${this.entry(entry).port('operatorPort')}`;
  }

  /** Stops everything; resolves with the exit codes of the entry instances. */
  async stop(): Promise<readonly (number | null)[]> {
    const codes = await Promise.all(this.entries.map((entry) => entry.stop()));
    await Promise.all([...this.workers, this.platform, this.table].map((standin) => standin.stop('SIGKILL')));
    return codes;
  }

  private entry(index: number): ManagedProcess {
    const entry = this.entries[index];
    if (entry === undefined) throw new Error(`There is no entry instance ${index}.`);
    return entry;
  }
}

/** Sends a request with an optional JSON body and reads a JSON answer. */
export async function sendJson(
  url: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  token: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonAnswer> {
  const answer = await request(url, {
    method,
    headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json', ...headers },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const parsed = (await answer.body.json()) as Readonly<Record<string, unknown>>;
  return { status: answer.statusCode, headers: answer.headers, body: parsed };
}

function startStandin(script: string, args: readonly string[]): Promise<ManagedProcess> {
  return ManagedProcess.start({
    script: join(ROOT, 'standins', script),
    args,
    readyWhen: (line) => line.port !== undefined,
  });
}

function startEntry(number: number, tablePort: number, platformPort: number): Promise<ManagedProcess> {
  const flags = {
    'member-id': `entry-${number}`,
    'availability-zone': `zone-${((number - 1) % 3) + 1}`,
    'caller-port': '0',
    'operator-port': '0',
    'peer-port': '0',
    'table-url': `http://127.0.0.1:${tablePort}`,
    'platform-url': `http://127.0.0.1:${platformPort}`,
    'operator-token': OPERATOR_TOKEN,
    'balancer-grace-ms': '200',
  };
  return ManagedProcess.start({
    script: join(ROOT, 'entry', 'entry_main.js'),
    args: Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]),
    readyWhen: (line) => line.eventId === 100,
  });
}
