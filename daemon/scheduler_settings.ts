/**
 * Settings of a scheduler process from flags and environment variables: what an operator
 * may weigh or limit, beside the addresses and bounds of the platform's settings file.
 */
import { z } from 'zod';
import { PLACEMENT_SETTING_DEFINITIONS } from '../placement/placement_settings';
import { readSettings, type SettingInputs, type SettingValues } from '../settings/setting_definitions';

/** Each part adds the definitions of its own settings here. */
export const SCHEDULER_SETTING_DEFINITIONS = {
  'log-level': {
    schema: z.enum(['debug', 'info', 'warn', 'error', 'silent']),
    description: 'lowest level that is logged',
    defaultValue: 'info',
  },
  ...PLACEMENT_SETTING_DEFINITIONS,
} as const;

export type SchedulerSettings = SettingValues<typeof SCHEDULER_SETTING_DEFINITIONS>;

/**
 * Reads and checks the settings. Throws `SettingsError`, which lists every invalid one.
 *
 * @example
 * ```ts
 * const settings = readSchedulerSettings({ args: process.argv.slice(2), environment: process.env });
 * ```
 */
export function readSchedulerSettings(inputs: SettingInputs): SchedulerSettings {
  return readSettings(SCHEDULER_SETTING_DEFINITIONS, inputs);
}

/** The defaults of all settings. */
export function defaultSchedulerSettings(): SchedulerSettings {
  return readSchedulerSettings({ args: [], environment: {} });
}
