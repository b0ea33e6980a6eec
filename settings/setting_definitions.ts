/** Settings from flags and environment variables: their definitions, sources and checks. */
import { parseArgs } from 'node:util';
import type { z } from 'zod';

/** One setting: its schema, its description and its default. */
export interface SettingDefinition {
  readonly schema: z.ZodType;
  readonly description: string;
  /** A setting without a default is required. */
  readonly defaultValue?: string;
}

/** Definitions by flag, in the order of the help text. */
export type SettingDefinitions = Readonly<Record<string, SettingDefinition>>;

/** The value of a setting and its source. */
export interface SettingSource {
  readonly name: string;
  readonly value: string;
  readonly source: 'flag' | 'environment' | 'default';
}

/** Flags and environment variables of a process. */
export interface SettingInputs {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Values of the settings, by name in camel case. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions & string as CamelCase<Name>]: z.infer<Definitions[Name]['schema']>;
};

type CamelCase<Name extends string> = Name extends `${infer Head}-${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : Name;

/** The settings are invalid; `problems` has a sentence for each invalid one. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(readonly problems: readonly string[]) {
    super(problems.join('\n'));
  }
}

/** Values of flags as `util.parseArgs` returns them. */
export type Flags = Readonly<Record<string, string | boolean | undefined>>;

/**
 * Returns the name of the environment variable that corresponds to a flag.
 *
 * @example
 * ```ts
 * environmentVariableName('max-body-bytes'); // 'ENDIVESTAND_MAX_BODY_BYTES'
 * ```
 */
export function environmentVariableName(flag: string): string {
  return `ENDIVESTAND_${flag.replaceAll('-', '_').toUpperCase()}`;
}

/**
 * Parses the flags of the given settings, besides flags without a value. Throws
 * {@link SettingsError}.
 *
 * @example
 * ```ts
 * const flags = parseFlags(process.argv.slice(2), definitions, ['help']);
 * ```
 */
export function parseFlags(
  args: readonly string[],
  definitions: SettingDefinitions,
  switches: readonly string[] = [],
): Flags {
  const stringFlags = Object.keys(definitions).map((name) => [name, { type: 'string' as const }]);
  const booleanFlags = switches.map((name) => [name, { type: 'boolean' as const }]);
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

/**
 * Determines where each setting comes from: its flag, else its environment variable, else
 * its default. Throws {@link SettingsError}, which lists every invalid setting.
 *
 * @example
 * ```ts
 * const sources = findSources(definitions, flags, process.env);
 * ```
 */
export function findSources(
  definitions: SettingDefinitions,
  flags: Flags,
  environment: SettingInputs['environment'],
): readonly SettingSource[] {
  const found = Object.entries(definitions).map(([name, definition]) => ({
    name,
    definition,
    source: findSource(name, definition, flags, environment),
  }));
  const problems = found.flatMap(({ name, definition, source }) => checkSetting(name, definition, source));
  if (problems.length > 0) throw new SettingsError(problems);
  return found.flatMap(({ source }) => (source === null ? [] : [source]));
}

/**
 * Returns the values of sources that {@link findSources} has checked.
 *
 * @example
 * ```ts
 * const { maxBodyBytes } = settingValues(definitions, sources);
 * ```
 */
export function settingValues<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  sources: readonly SettingSource[],
): SettingValues<Definitions> {
  const entries = sources.map(({ name, value }) => [
    toCamelCase(name),
    definitions[name]?.schema.parse(value),
  ]);
  return Object.fromEntries(entries) as SettingValues<Definitions>;
}

/**
 * Reads and checks settings. Throws {@link SettingsError}, which lists every invalid one.
 *
 * @example
 * ```ts
 * const settings = readSettings(definitions, { args: process.argv.slice(2), environment: process.env });
 * ```
 */
export function readSettings<Definitions extends SettingDefinitions>(
  definitions: Definitions,
  { args, environment }: SettingInputs,
): SettingValues<Definitions> {
  return settingValues(definitions, findSources(definitions, parseFlags(args, definitions), environment));
}

/** One line of a help text for each setting. */
export function helpLines(definitions: SettingDefinitions): readonly string[] {
  return Object.entries(definitions).map(([name, { description, defaultValue }]) => {
    const suffix = defaultValue === undefined ? 'required' : `default "${defaultValue}"`;
    return `  --${name.padEnd(20)} ${description} (${suffix}; ${environmentVariableName(name)})`;
  });
}

/** Hides the value of a secret. */
export function redactToken(source: SettingSource): SettingSource {
  return source.name === 'operator-token' ? { ...source, value: '(hidden)' } : source;
}

function findSource(
  name: string,
  { defaultValue }: SettingDefinition,
  flags: Flags,
  environment: SettingInputs['environment'],
): SettingSource | null {
  const flag = flags[name];
  if (typeof flag === 'string') return { name, value: flag, source: 'flag' };
  const variable = environment[environmentVariableName(name)];
  if (variable !== undefined) return { name, value: variable, source: 'environment' };
  return defaultValue === undefined ? null : { name, value: defaultValue, source: 'default' };
}

function checkSetting(
  name: string,
  { schema, description }: SettingDefinition,
  source: SettingSource | null,
): readonly string[] {
  if (source === null) return [`--${name} (${environmentVariableName(name)}) is required: ${description}.`];
  const result = schema.safeParse(source.value);
  if (result.success) return [];
  const reasons = result.error.issues.map(({ message }) => message).join('; ');
  return [`--${name} has the value "${redactToken(source).value}": ${reasons}.`];
}

function toCamelCase(name: string): string {
  return name.replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());
}
