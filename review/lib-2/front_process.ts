/** A process of the product, started with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, writeFileSync } from 'node:fs';
import path from 'node:path';

/** As in deploy/system.toml. */
const COMMAND = ['--max-old-space-size=128', '--max-semi-space-size=4', 'deploy/start.cjs'] as const;

export class FrontProcess {
  private child: ChildProcess | null = null;
  private readonly settingsFile: string;
  readonly logFile: string;

  constructor(folder: string, nodeName: string, settings: string) {
    this.settingsFile = path.join(folder, `${nodeName}.json`);
    this.logFile = path.join(folder, `${nodeName}.log`);
    writeFileSync(this.settingsFile, settings);
  }

  start(): void {
    const log = openSync(this.logFile, 'a');
    this.child = spawn(process.execPath, [...COMMAND], {
      env: { PATH: process.env.PATH ?? '', ENDIVESTAND_NODE_FILE: this.settingsFile },
      stdio: ['ignore', log, log],
    });
  }

  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Whether the process runs; one that nobody has ended should. */
  isRunning(): boolean {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    const { child } = this;
    this.child = null;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill('SIGKILL');
    await ended;
  }
}
