/** Command line of the operator command. */
import { parseArgs } from 'node:util';
import { environmentName } from '../settings/settings';

/** Listings of the operators API. */
export const LISTINGS = ['teams', 'pools', 'queues', 'instances', 'waves', 'members'] as const;

export type Listing = (typeof LISTINGS)[number];

/** What the operator asked for. */
export type Command =
  | { readonly kind: 'help' }
  | { readonly kind: 'apply'; readonly file: string; readonly dryRun: boolean }
  | { readonly kind: 'show_ticket'; readonly number: number }
  | { readonly kind: 'list_tickets' }
  | { readonly kind: 'status' }
  | { readonly kind: 'list'; readonly listing: Listing };

export interface CommandLine {
  readonly command: Command;
  /** Operators APIs of entry instances, tried in order. */
  readonly urls: readonly string[];
  readonly token: string;
  readonly json: boolean;
}

/** The command line cannot be understood; the message is a sentence for the operator. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

export const USAGE = `Usage: endivestand <command> [flags]

Commands
  apply FILE          apply the change ticket in FILE ("-" reads standard input)
  ticket show NUMBER  show an accepted ticket
  ticket list         list accepted tickets
  status              show the state of one entry instance
  ${LISTINGS.join(' | ')}
                      list configured objects and their state

Flags
  --dry-run           with apply: show what would change and change nothing
  --json              print JSON
  --url URL           operators API of an entry instance; may be repeated
                      (ENDIVESTAND_URL, separated by commas)
  --operator-token T  token of the operators API (ENDIVESTAND_OPERATOR_TOKEN)
  --help              print this text

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no entry instance answered
(a ticket may then have been accepted: apply it again with the same number).
`;

/**
 * Parses the command line. Throws {@link UsageError}.
 *
 * @example
 * ```ts
 * const { command } = parseCommandLine(['apply', 'ticket.json', '--dry-run'], process.env);
 * ```
 */
export function parseCommandLine(
  args: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): CommandLine {
  const { values, positionals } = parse(args);
  const urls = values.url ?? environment.ENDIVESTAND_URL?.split(',') ?? [];
  const token = values['operator-token'] ?? environment[environmentName('operator-token')] ?? '';
  const json = values.json ?? false;
  if (values.help === true) return { command: { kind: 'help' }, urls, token, json };
  const command = parseCommand(positionals, values['dry-run'] ?? false);
  if (urls.length === 0) throw new UsageError('Name an entry instance with --url or ENDIVESTAND_URL.');
  if (token === '')
    throw new UsageError('Give the token with --operator-token or ENDIVESTAND_OPERATOR_TOKEN.');
  return { command, urls, token, json };
}

function parse(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      allowPositionals: true,
      options: {
        'dry-run': { type: 'boolean' },
        json: { type: 'boolean' },
        url: { type: 'string', multiple: true },
        'operator-token': { type: 'string' },
        help: { type: 'boolean' },
      },
    });
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : String(error));
  }
}

function parseCommand(words: readonly string[], dryRun: boolean): Command {
  const [first, second, third] = words;
  if (first === 'apply' && second !== undefined && words.length === 2)
    return { kind: 'apply', file: second, dryRun };
  if (dryRun) throw new UsageError('--dry-run goes with apply.');
  if (first === 'ticket' && second === 'list' && words.length === 2) return { kind: 'list_tickets' };
  if (first === 'ticket' && second === 'show' && words.length === 3) {
    return { kind: 'show_ticket', number: parseNumber(third) };
  }
  if (first === 'status' && words.length === 1) return { kind: 'status' };
  const listing = LISTINGS.find((name) => name === first);
  if (listing !== undefined && words.length === 1) return { kind: 'list', listing };
  throw new UsageError(words.length === 0 ? 'Name a command.' : `"${words.join(' ')}" is not a command.`);
}

function parseNumber(word: string | undefined): number {
  const number = Number(word);
  if (Number.isSafeInteger(number) && number > 0) return number;
  throw new UsageError(`"${word ?? ''}" is not a ticket number.`);
}
