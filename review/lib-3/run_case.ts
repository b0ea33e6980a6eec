/** Runs a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { CaseDeployment, type CaseOptions } from './case_deployment';

const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Violations of the rule, each as a sentence. */
export type Violations = readonly string[];

export async function runCase(
  options: CaseOptions,
  play: (deployment: CaseDeployment) => Promise<Violations>,
): Promise<void> {
  const deployment = new CaseDeployment(options);
  let exitCode = NOT_RUN;
  try {
    deployment.record(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`);
    const violations = await play(deployment);
    for (const violation of violations) deployment.record(`BROKEN: ${violation}`);
    if (violations.length === 0) deployment.record('the rule held');
    exitCode = violations.length > 0 ? BROKEN : HELD;
    for (const violation of violations.slice(0, 5)) process.stdout.write(`broken: ${violation}\n`);
  } catch (error) {
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    deployment.record(`the case could not run: ${reason}`);
    process.stderr.write(`${reason}\n`);
  } finally {
    await deployment.close();
  }
  process.exit(exitCode);
}
