/** Capabilities that the wiring provides before any plug-in is set up. */
import { capability } from '../kernel/capability';
import type { EntrySettings } from './settings';
import type { Counters } from '../telemetry/counters';
import type { Logger } from '../telemetry/logger';

export const ENTRY_SETTINGS = capability<EntrySettings>('settings.entry');
export const LOGGER = capability<Logger>('telemetry.logger');
export const COUNTERS = capability<Counters>('telemetry.counters');
