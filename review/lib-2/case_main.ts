/** Runs a case and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run. */
import type { SmallDeployment } from './small_deployment';

/** Whether the disruption takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** File that a case writes. */
export const RECORD_FILE = process.env.RECORD ?? 'record.txt';

/** The case could not be brought about. */
export class CaseError extends Error {
  override readonly name = 'CaseError';
}

export async function runCase(
  deployment: SmallDeployment,
  play: (deployment: SmallDeployment) => Promise<void>,
): Promise<void> {
  let code = 2;
  for (const signal of ['SIGINT', 'SIGTERM'] as const)
    process.once(signal, () => {
      void deployment.close().then(() => process.exit(2));
    });
  try {
    await deployment.start();
    await play(deployment);
    code = deployment.broken.length > 0 ? 1 : 0;
  } catch (error) {
    deployment.record.write(`not run: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
  }
  await deployment.close();
  deployment.record.write(`exit ${code}`);
  process.exit(code);
}
