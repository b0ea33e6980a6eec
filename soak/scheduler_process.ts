/** A real scheduler process that is paused, killed and restarted by signals. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { encodeSettings, type StandinSettings } from '../platform/standins/deployment_encoding';
import { NODE_FILE_VARIABLE } from '../platform/node_file';

const PROGRAM = path.join(process.cwd(), 'dist/daemon/scheduler_main.js');

export interface SchedulerProcessOptions {
  /** Flags of Node.js, for example a smaller heap. */
  readonly nodeFlags?: readonly string[];
}

export class SchedulerProcess {
  readonly logFile: string;
  private readonly settingsFile: string;
  private child: ChildProcess | null = null;

  constructor(
    readonly settings: StandinSettings,
    private readonly options: SchedulerProcessOptions = {},
  ) {
    const folder = mkdtempSync(path.join(tmpdir(), 'soak-'));
    this.logFile = path.join(folder, `${settings.nodeName}.log`);
    this.settingsFile = path.join(folder, 'settings.json');
    writeFileSync(this.settingsFile, encodeSettings(settings));
  }

  start(): void {
    const log = openSync(this.logFile, 'a');
    const script = `require(${JSON.stringify(PROGRAM)}).runScheduler()`;
    this.child = spawn(process.execPath, [...(this.options.nodeFlags ?? []), '-e', script], {
      env: { ...process.env, [NODE_FILE_VARIABLE]: this.settingsFile },
      stdio: ['ignore', log, log],
    });
  }

  /** Whether the process has ended by itself, which it never should. */
  hasEnded(): boolean {
    const { child } = this;
    return child !== null && (child.exitCode !== null || child.signalCode !== null);
  }

  /** Identifier of the process; `null` if it is not running. */
  processId(): number | null {
    return this.hasEnded() ? null : (this.child?.pid ?? null);
  }

  pause(): void {
    this.child?.kill('SIGSTOP');
  }

  resume(): void {
    this.child?.kill('SIGCONT');
  }

  /** Ends the process without a chance to clean up. */
  async kill(): Promise<void> {
    const { child } = this;
    this.child = null;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }
}
