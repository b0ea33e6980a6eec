/** Settings of the entry daemon, from flags and environment variables. */
import { parseArgs } from 'node:util';
import { z } from 'zod';

const portSchema = z.coerce.number().int().min(0).max(65_535);

/** One setting: its schema, its description and its default. */
interface SettingDefinition {
  readonly schema: z.ZodType;
  readonly description: string;
  readonly defaultValue?: string;
}

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
} as const satisfies Record<string, SettingDefinition>;

type SettingName = keyof typeof SETTING_DEFINITIONS;

/** Validated settings of the entry daemon. */
export interface EntrySettings {
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

/** The value of a setting and its source. */
export interface SettingSource {
  readonly name: string;
  readonly value: string;
  readonly source: 'flag' | 'environment' | 'default';
}

/** What the command line requests. */
export type ParsedSettings =
  | { readonly kind: 'help'; readonly text: string }
  | { readonly kind: 'print'; readonly sources: readonly SettingSource[] }
  | { readonly kind: 'run'; readonly settings: EntrySettings };

/** The settings are invalid; `problems` has a sentence for each invalid one. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(readonly problems: readonly string[]) {
    super(problems.join('\n'));
  }
}

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
  const flags = parseFlags(args);
  if (flags.help === true) return { kind: 'help', text: helpText() };
  const names = Object.keys(SETTING_DEFINITIONS) as readonly SettingName[];
  const settings = names.map((name) => ({ name, source: findSource(name, flags, environment) }));
  const problems = settings.flatMap(({ name, source }) => checkSetting(name, source));
  if (problems.length > 0) throw new SettingsError(problems);
  const sources = settings.flatMap(({ source }) => (source ? [source] : []));
  if (flags['print-settings'] === true) return { kind: 'print', sources: sources.map(redactToken) };
  const entries = sources.map(({ name, value }) => [
    toCamelCase(name),
    SETTING_DEFINITIONS[name as SettingName].schema.parse(value),
  ]);
  return { kind: 'run', settings: Object.fromEntries(entries) as EntrySettings };
}

/** Returns the name of the environment variable that corresponds to a flag. */
export function environmentVariableName(flag: string): string {
  return `ENDIVESTAND_${flag.replaceAll('-', '_').toUpperCase()}`;
}

type Flags = Readonly<Record<string, string | boolean | undefined>>;

function parseFlags(args: readonly string[]): Flags {
  const stringFlags = Object.keys(SETTING_DEFINITIONS).map((name) => [name, { type: 'string' as const }]);
  const booleanFlags = ['help', 'print-settings'].map((name) => [name, { type: 'boolean' as const }]);
  try {
    const { values } = parseArgs({
      args: [...args],
      options: Object.fromEntries([...stringFlags, ...booleanFlags]) as Record<
        string,
        { type: 'string' | 'boolean' }
      >,
    });
    return values;
  } catch (error) {
    throw new SettingsError([error instanceof Error ? error.message : String(error)]);
  }
}

function findSource(
  name: SettingName,
  flags: Flags,
  environment: Readonly<Record<string, string | undefined>>,
): SettingSource | null {
  const flag = flags[name];
  if (typeof flag === 'string') return { name, value: flag, source: 'flag' };
  const variable = environment[environmentVariableName(name)];
  if (variable !== undefined) return { name, value: variable, source: 'environment' };
  const definition: SettingDefinition = SETTING_DEFINITIONS[name];
  if (definition.defaultValue !== undefined)
    return { name, value: definition.defaultValue, source: 'default' };
  return null;
}

function checkSetting(name: SettingName, source: SettingSource | null): readonly string[] {
  if (source === null)
    return [
      `--${name} (${environmentVariableName(name)}) is required: ${SETTING_DEFINITIONS[name].description}.`,
    ];
  const result = SETTING_DEFINITIONS[name].schema.safeParse(source.value);
  if (result.success) return [];
  const reasons = result.error.issues.map(({ message }) => message).join('; ');
  return [`--${name} has the value "${redactToken(source).value}": ${reasons}.`];
}

function redactToken(source: SettingSource): SettingSource {
  return source.name === 'operator-token' ? { ...source, value: '(hidden)' } : source;
}

function toCamelCase(name: string): string {
  return name.replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
}

function helpText(): string {
  const lines = Object.entries(SETTING_DEFINITIONS).map(([name, definition]: [string, SettingDefinition]) => {
    const suffix =
      definition.defaultValue === undefined ? 'required' : `default "${definition.defaultValue}"`;
    return `  --${name.padEnd(20)} ${definition.description} (${suffix}; ${environmentVariableName(name)})`;
  });
  return [
    'Usage: endivestand-entry [flags]',
    '',
    ...lines,
    '  --print-settings       print the settings in force and where each came from',
    '  --help                 print this text',
    '',
  ].join('\n');
}
