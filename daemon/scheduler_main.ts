/** Main function of the scheduler daemon. */
import { readFileSync } from 'node:fs';
import { SystemClock } from '../kernel/system_clock';
import { decodeNodeFile, NODE_FILE_VARIABLE, NodeFileError } from '../platform/node_file';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { Logger } from '../telemetry/logger';
import { SettingsError } from '../settings/setting_definitions';
import { readSchedulerSettings } from './scheduler_settings';
import { createScheduler } from './wiring';

const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;

async function main(): Promise<void> {
  const schedulerSettings = readSchedulerSettings({
    args: process.argv.slice(2),
    environment: process.env,
  });
  const logger = Logger.buffered({ level: schedulerSettings.logLevel });
  const path = process.env[NODE_FILE_VARIABLE];
  if (path === undefined) throw new NodeFileError([`${NODE_FILE_VARIABLE} is not set.`]);
  const settings = decodeNodeFile(readFileSync(path, 'utf8'));
  const kernel = createScheduler({ settings, schedulerSettings, clock: new SystemClock(), logger });
  const stopRequested = new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  process.on('SIGHUP', () => {
    logger.info(LOG_EVENTS.settingsReloaded);
  });
  const exitAfter = (error: unknown): void => {
    const reason = error instanceof Error ? error.stack : String(error);
    logger.error(LOG_EVENTS.turnFailed, { reason });
    process.exit(EXIT_FAILURE);
  };
  process.on('unhandledRejection', exitAfter);
  process.on('uncaughtException', exitAfter);
  await kernel.start();
  logger.info(LOG_EVENTS.started, { nodeName: settings.nodeName });
  await stopRequested;
  logger.info(LOG_EVENTS.stopping);
  await kernel.stop();
  logger.info(LOG_EVENTS.stopped);
}

/** Runs the daemon until SIGTERM or SIGINT, and exits with 0, 1 (failure) or 2 (unusable settings). */
export function runScheduler(): void {
  main().then(
    () => {
      process.exit(0);
    },
    (error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
      process.exit(
        error instanceof NodeFileError || error instanceof SettingsError ? EXIT_BAD_SETTINGS : EXIT_FAILURE,
      );
    },
  );
}
