/** Starts and stops child processes for the demonstration, the benchmarks and the process tests. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface, type Interface } from 'node:readline';

export interface StartProcessOptions {
  /** Absolute path of the compiled script. */
  readonly script: string;
  readonly args: readonly string[];
  /** Whether a line of JSON that the process printed announces that it is ready. */
  readonly isReadyLine: (line: Readonly<Record<string, unknown>>) => boolean;
}

/** A child process that has announced that it is ready. */
export class ManagedProcess {
  private constructor(
    readonly child: ChildProcess,
    /** The line of output that announced readiness, parsed. */
    readonly readyLine: Readonly<Record<string, unknown>>,
  ) {}

  /** Resolves once the process is ready; rejects with its error output if it exits before that. */
  static start(options: StartProcessOptions): Promise<ManagedProcess> {
    const child = spawn(process.execPath, [options.script, ...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const outputLines: Interface = createInterface({ input: child.stdout });
    const errorOutput: string[] = [];
    child.stderr.on('data', (chunk: Buffer) => errorOutput.push(chunk.toString()));
    return new Promise((resolve, reject) => {
      child.once('exit', (code) => {
        reject(new Error(`${options.script} exited with ${String(code)}: ${errorOutput.join('')}`));
      });
      outputLines.on('line', (line) => {
        const parsed = parseJsonLine(line);
        if (parsed && options.isReadyLine(parsed)) resolve(new ManagedProcess(child, parsed));
      });
    });
  }

  /** The port number in the given field of the ready line. */
  port(field: string): number {
    return Number(this.readyLine[field]);
  }

  /** Sends a signal and waits for the exit; resolves with the exit code, `null` if the signal ended the process. */
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

/** The parsed line, `null` if it is not JSON. */
function parseJsonLine(line: string): Readonly<Record<string, unknown>> | null {
  try {
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  } catch {
    return null;
  }
}
