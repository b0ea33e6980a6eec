/** Settings of what clients outside the system may hold in a process. */
import { z } from 'zod';
import { readSettings, type SettingDefinitions, type SettingValues } from '../settings/setting_definitions';

const MINUTE_MS = 60_000;

function integerSchema(min: number, max: number): z.ZodType<number> {
  return z.coerce.number().int().min(min).max(max);
}

/**
 * No client reaches a default if its body has at most 262,144 bytes, its headers have at most
 * 16,384 bytes and arrive within 3 s, its idle connections are used or closed within 15 s, and
 * it reads its responses.
 */
export const CLIENT_LIMIT_DEFINITIONS = {
  'client-max-connections': {
    schema: integerSchema(0, 100_000),
    description: 'connections of callers; 0 derives the number from the descriptors of the machine',
    defaultValue: '0',
  },
  'client-max-connections-per-address': {
    schema: integerSchema(0, 100_000),
    description: 'connections from one IP address to one listening address; 0 sets no limit',
    defaultValue: '0',
  },
  'client-reserved-connections': {
    schema: integerSchema(8, 10_000),
    description: 'connections that readiness checks, and relay and metrics, may each have beside the callers',
    defaultValue: '512',
  },
  'client-reserved-descriptors': {
    schema: integerSchema(200, 100_000),
    description: 'descriptors kept for files and for calls of the process itself',
    defaultValue: '1500',
  },
  'client-max-header-bytes': {
    schema: integerSchema(1_024, 1_048_576),
    description: 'headers of one request, in bytes',
    defaultValue: '20480',
  },
  'client-header-timeout-ms': {
    schema: integerSchema(1_000, 10 * MINUTE_MS),
    description: 'time for the headers of a request to arrive, in milliseconds',
    defaultValue: '6000',
  },
  'client-idle-timeout-ms': {
    schema: integerSchema(1_000, 10 * MINUTE_MS),
    description: 'time for which a connection without a request stays open, in milliseconds',
    defaultValue: '20000',
  },
  'client-max-body-bytes': {
    schema: integerSchema(0, 64 * 2 ** 20),
    description: 'largest body, in bytes; the rules may set a lower limit for callers',
    defaultValue: '1048576',
  },
  'client-max-body-chunks': {
    schema: integerSchema(1_000, 100_000_000),
    description: 'chunks of all bodies that are being received',
    defaultValue: '300000',
  },
  'client-max-small-chunk-bodies': {
    schema: integerSchema(1, 100_000),
    description: 'bodies in small chunks that are received at a time',
    defaultValue: '2',
  },
  'client-body-timeout-ms': {
    schema: integerSchema(1_000, 10 * MINUTE_MS),
    description: 'time for a body to arrive, in milliseconds',
    defaultValue: '10000',
  },
  'client-body-stall-ms': {
    schema: integerSchema(1_000, 10 * MINUTE_MS),
    description: 'time without a byte of an incomplete body, in milliseconds',
    defaultValue: '5000',
  },
  'client-max-buffered-bytes': {
    schema: integerSchema(0, 2 ** 31),
    description: 'bytes of all bodies being received; 0 derives them from the memory of the machine',
    defaultValue: '0',
  },
  'client-max-memory-percent': {
    schema: integerSchema(10, 100),
    description: 'resident memory above which incomplete bodies and unread responses are dropped, in percent',
    defaultValue: '80',
  },
  'client-max-requests-in-progress': {
    schema: integerSchema(1, 1_000),
    description: 'requests of one connection that are processed at a time',
    defaultValue: '4',
  },
  'client-max-requests-per-connection': {
    schema: integerSchema(1, 10_000),
    description: 'unanswered requests of one connection, those that wait included',
    defaultValue: '32',
  },
  'client-response-timeout-ms': {
    schema: integerSchema(1_000, 10 * MINUTE_MS),
    description: 'time for which a client may read nothing of a response that waits, in milliseconds',
    defaultValue: '15000',
  },
  'client-turn-chunks': {
    schema: integerSchema(16, 1_000_000),
    description: 'chunks of one body that are read before other connections have their turn',
    defaultValue: '1024',
  },
} as const satisfies SettingDefinitions;

export type ClientLimitSettings = SettingValues<typeof CLIENT_LIMIT_DEFINITIONS>;

/** The defaults of all limits. */
export function defaultClientLimitSettings(): ClientLimitSettings {
  return readSettings(CLIENT_LIMIT_DEFINITIONS, { args: [], environment: {} });
}
