/** Starts and stops the project's own processes for the demonstration, measurements and process tests. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface, type Interface } from 'node:readline';

export interface StartProcessOptions {
  /** Compiled script, as an absolute path. */
  readonly script: string;
  readonly args: readonly string[];
  /** Picks the line of output that shows that the process is ready, and what it says. */
  readonly readyWhen: (line: Readonly<Record<string, unknown>>) => boolean;
}

/** A running process and the line with which it said that it was ready. */
export class ManagedProcess {
  private constructor(
    readonly child: ChildProcess,
    readonly ready: Readonly<Record<string, unknown>>,
  ) {}

  /** Resolves once the process is ready. Rejects if it exits before. */
  static start(options: StartProcessOptions): Promise<ManagedProcess> {
    const child = spawn(process.execPath, [options.script, ...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const lines: Interface = createInterface({ input: child.stdout });
    const errorOutput: string[] = [];
    child.stderr.on('data', (chunk: Buffer) => errorOutput.push(chunk.toString()));
    return new Promise((resolve, reject) => {
      child.once('exit', (code) => {
        reject(new Error(`${options.script} exited with ${String(code)}: ${errorOutput.join('')}`));
      });
      lines.on('line', (line) => {
        const parsed = parseLine(line);
        if (parsed && options.readyWhen(parsed)) resolve(new ManagedProcess(child, parsed));
      });
    });
  }

  /** Port named `field` in the ready line. */
  port(field: string): number {
    return Number(this.ready[field]);
  }

  /** Sends a signal and resolves with the exit code, `null` if the signal ended the process. */
  stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    if (this.child.exitCode !== null || this.child.signalCode !== null)
      return Promise.resolve(this.child.exitCode);
    return new Promise((resolve) => {
      this.child.once('exit', (code) => {
        resolve(code);
      });
      this.child.kill(signal);
    });
  }
}

function parseLine(line: string): Readonly<Record<string, unknown>> | null {
  try {
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  } catch {
    return null;
  }
}
