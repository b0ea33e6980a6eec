#!/usr/bin/env node
/** Daemon of an entry instance. */
import { SystemClock } from '../kernel/system_clock';
import { LOGGER } from '../settings/base_capabilities';
import { SettingsError } from '../settings/setting_definitions';
import { parseEntrySettings, type EntrySettings } from '../settings/settings';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { createEntryInstance } from './wiring';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILURE = 1;

async function run(settings: EntrySettings): Promise<void> {
  const kernel = createEntryInstance({ settings, clock: new SystemClock() });
  const stopRequested = new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await kernel.start();
  await stopRequested;
  await kernel.stop();
  kernel.use(LOGGER).info(LOG_EVENTS.stopped);
}

function main(): Promise<void> {
  const parsed = parseEntrySettings(process.argv.slice(2), process.env);
  if (parsed.kind === 'run') return run(parsed.settings);
  const text = parsed.kind === 'help' ? parsed.text : `${JSON.stringify(parsed.sources, null, 2)}\n`;
  process.stdout.write(text);
  return Promise.resolve();
}

Promise.resolve()
  .then(main)
  .then(
    () => {
      process.exit(0);
    },
    (error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
      process.exit(error instanceof SettingsError ? EXIT_BAD_SETTINGS : EXIT_FAILURE);
    },
  );
