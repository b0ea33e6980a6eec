/** Settings of the entry daemon, from flags and environment variables. */
import { z } from 'zod';
import { CLIENT_LIMIT_DEFINITIONS, type ClientLimitSettings } from '../entry/client_limit_settings';
import {
  findSources,
  helpLines,
  parseFlags,
  redactToken,
  settingValues,
  type SettingDefinitions,
  type SettingSource,
} from './setting_definitions';

const portSchema = z.coerce.number().int().min(0).max(65_535);

const SETTING_DEFINITIONS = {
  'member-id': {
    schema: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_" and "-"'),
    description: 'name of this entry instance, unique in the deployment',
  },
  host: { schema: z.string().min(1), description: 'IP address to listen on', defaultValue: '127.0.0.1' },
  'caller-port': {
    schema: portSchema,
    description: 'port of the callers API; 0 lets the system choose',
    defaultValue: '8080',
  },
  'operator-port': {
    schema: portSchema,
    description: 'port of the operators API; 0 lets the system choose',
    defaultValue: '8081',
  },
  'peer-port': {
    schema: portSchema,
    description: 'port for other entry instances; 0 lets the system choose',
    defaultValue: '8082',
  },
  'availability-zone': { schema: z.string().min(1), description: 'availability zone of this entry instance' },
  'table-url': { schema: z.url(), description: 'base URL of the table service' },
  'table-timeout-ms': {
    schema: z.coerce.number().int().min(10).max(10_000),
    description: 'time limit of one call to the table service, in milliseconds',
    defaultValue: '1000',
  },
  'platform-url': {
    schema: z.url(),
    description: 'base URL of the instance list, pool operations and object store',
  },
  'operator-token': { schema: z.string().min(8), description: 'token that operators present' },
  'balancer-grace-ms': {
    schema: z.coerce.number().int().min(0).max(120_000),
    description: 'time the load balancer needs to detect that the instance is draining, in milliseconds',
    defaultValue: '5000',
  },
  'max-body-bytes': {
    schema: z.coerce
      .number()
      .int()
      .min(0)
      .max(64 * 1024 * 1024),
    description: 'largest request body, in bytes',
    defaultValue: '1048576',
  },
  'statsd-host': {
    schema: z.string(),
    description: 'StatsD host; empty keeps counters in memory',
    defaultValue: '',
  },
  'statsd-port': { schema: portSchema, description: 'StatsD port', defaultValue: '8125' },
  'log-level': {
    schema: z.enum(['debug', 'info', 'warn', 'error', 'silent']),
    description: 'lowest level that is logged',
    defaultValue: 'info',
  },
  ...CLIENT_LIMIT_DEFINITIONS,
} as const satisfies SettingDefinitions;

/** Validated settings of the entry daemon. */
export interface EntrySettings extends ClientLimitSettings {
  readonly memberId: string;
  readonly host: string;
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  readonly availabilityZone: string;
  readonly tableUrl: string;
  readonly tableTimeoutMs: number;
  readonly platformUrl: string;
  readonly operatorToken: string;
  readonly balancerGraceMs: number;
  readonly maxBodyBytes: number;
  readonly statsdHost: string;
  readonly statsdPort: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error' | 'silent';
}

/** What the command line requests. */
export type ParsedSettings =
  | { readonly kind: 'help'; readonly text: string }
  | { readonly kind: 'print'; readonly sources: readonly SettingSource[] }
  | { readonly kind: 'run'; readonly settings: EntrySettings };

/**
 * Reads and validates the settings. Throws {@link SettingsError}, which lists every invalid one.
 *
 * @example
 * ```ts
 * const parsed = parseEntrySettings(process.argv.slice(2), process.env);
 * ```
 */
export function parseEntrySettings(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): ParsedSettings {
  const flags = parseFlags(args, SETTING_DEFINITIONS, ['help', 'print-settings']);
  if (flags.help === true) return { kind: 'help', text: helpText() };
  const sources = findSources(SETTING_DEFINITIONS, flags, environment);
  if (flags['print-settings'] === true) return { kind: 'print', sources: sources.map(redactToken) };
  return { kind: 'run', settings: settingValues(SETTING_DEFINITIONS, sources) };
}

function helpText(): string {
  return [
    'Usage: endivestand-entry [flags]',
    '',
    ...helpLines(SETTING_DEFINITIONS),
    '  --print-settings       print the settings in force and where each came from',
    '  --help                 print this text',
    '',
  ].join('\n');
}
