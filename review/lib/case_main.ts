/** Runs a case and turns its verdict into an exit status: 1 if the rule was broken, 0 if it held, 2 otherwise. */
import path from 'node:path';
import type { Deployment } from './deployment';

/** What broke the rule; empty if it held. */
export type Verdict = readonly string[];

export interface ReviewCase {
  readonly deployment: Deployment;
  /** Plays the case; `isDisturbed` is false if the disruption has to be left out. */
  readonly play: (isDisturbed: boolean) => Promise<Verdict>;
}

const MAX_BROKEN_LINES = 20;

/** The first argument of the program is the folder for `record.txt`. */
export async function runCase({ deployment, play }: ReviewCase): Promise<void> {
  const recordFile = path.join(process.argv[2] ?? '.', 'record.txt');
  let status = 2;
  let isEnding = false;
  const end = async (): Promise<void> => {
    if (isEnding) return;
    isEnding = true;
    await deployment.close(recordFile);
  };
  for (const signal of ['SIGTERM', 'SIGINT'] as const)
    process.once(signal, () => {
      void end().then(() => process.exit(2));
    });
  try {
    await deployment.begin();
    const broken = await play(process.env.TROUBLE !== '0');
    for (const line of broken.slice(0, MAX_BROKEN_LINES)) deployment.record(`BROKEN ${line}`);
    if (broken.length === 0) deployment.record('the rule held');
    for (const line of broken.slice(0, 3)) process.stdout.write(`${line}\n`);
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
  } finally {
    await end();
  }
  process.stdout.write(`${['held', 'broken', 'could not run'][status] ?? ''}\n`);
  process.exit(status);
}
