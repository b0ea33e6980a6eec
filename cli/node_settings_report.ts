/** Validates and prints the settings file of a scheduler process. */
import { checkNodeFile, NodeFileError } from '../platform/node_file';
import { renderFields } from './render';

/** The settings file is not usable; the message lists every unusable field, one per line. */
export class UnusableSettingsError extends Error {
  override readonly name = 'UnusableSettingsError';
}

/** Returns a confirmation if the text is a usable settings file. Throws {@link UnusableSettingsError}. */
export function checkSettings(text: string): string {
  const { defaultedFields } = checkNodeSettings(text);
  return `The settings are usable. ${describeDefaults(defaultedFields)}\n`;
}

/**
 * Returns the settings that the process would use, and which of them are
 * defaults. Throws {@link UnusableSettingsError}.
 */
export function printSettings(text: string, json: boolean): string {
  const { settings, defaultedFields } = checkNodeSettings(text);
  if (json) return `${JSON.stringify({ settings, defaultedFields }, null, 2)}\n`;
  return `${renderFields({ ...settings })}\n${describeDefaults(defaultedFields)}\n`;
}

function describeDefaults(fields: readonly string[]): string {
  if (fields.length === 0) return 'Every field comes from the file.';
  return `Defaults are used for the absent fields ${fields.join(', ')}.`;
}

function checkNodeSettings(text: string): ReturnType<typeof checkNodeFile> {
  try {
    return checkNodeFile(text);
  } catch (error) {
    if (!(error instanceof NodeFileError)) throw error;
    throw new UnusableSettingsError(error.problems.join('\n'));
  }
}
