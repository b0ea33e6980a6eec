/** Parses the command line of the `endivestand` command. */
import { parseArgs } from 'node:util';
import { environmentVariableName } from '../settings/setting_definitions';

/** Objects that the operators API lists. */
export const LISTINGS = ['teams', 'pools', 'queues', 'instances', 'waves', 'members'] as const;

export type Listing = (typeof LISTINGS)[number];

/** A parsed command. */
export type Command =
  | { readonly kind: 'help' }
  | { readonly kind: 'apply'; readonly file: string; readonly dryRun: boolean }
  | { readonly kind: 'show_ticket'; readonly number: number }
  | { readonly kind: 'list_tickets' }
  | { readonly kind: 'status' }
  | { readonly kind: 'list'; readonly listing: Listing }
  | LocalCommand;

/** A command that needs no entry instance. */
export type LocalCommand =
  | { readonly kind: 'check_settings'; readonly file: string }
  | { readonly kind: 'print_settings'; readonly file: string }
  | { readonly kind: 'explain'; readonly requestId: string; readonly files: readonly string[] }
  | { readonly kind: 'report'; readonly files: readonly string[]; readonly output: string }
  | { readonly kind: 'store_status'; readonly storeAddress: string }
  | { readonly kind: 'save_snapshot'; readonly storeAddress: string; readonly file: string }
  | { readonly kind: 'restore_snapshot'; readonly storeAddress: string; readonly file: string };

export interface CommandLine {
  readonly command: Command;
  /** URLs of the operators APIs of entry instances, tried in order. */
  readonly urls: readonly string[];
  readonly token: string;
  readonly json: boolean;
}

/** The command line is invalid; the message is a sentence for the operator. */
export class UsageError extends Error {
  override readonly name = 'UsageError';
}

export const USAGE = `Usage: endivestand <command> [flags]

Commands
  apply FILE          apply the change ticket in FILE ("-" reads standard input)
  ticket show NUMBER  show an accepted ticket
  ticket list         list accepted tickets
  status              show the state of one entry instance; with --store, what the
                      platform's store holds: leader, pools, queues, waves, jobs
  ${LISTINGS.join(' | ')}
                      list configured objects and their state
  check-settings FILE report every unusable field of a scheduler's settings file
  print-settings FILE show the settings that a scheduler would use
  snapshot save FILE  with --store: copy the scheduler's tables to FILE, while no
                      process runs
  snapshot restore FILE
                      with --store: copy them back into an empty store
  explain ID LOG...   print the decisions on a request from log files, in order
  report LOG...       write a page with plots of a day from the logs of all processes

Flags
  --dry-run           with apply: show what would change and change nothing
  --json              print JSON
  --url URL           operators API of an entry instance; may be repeated
                      (ENDIVESTAND_URL, separated by commas)
  --store HOST:PORT   with status or snapshot: the platform's store
  --output FILE       with report: the page to write (report.html)
  --operator-token T  token of the operators API (ENDIVESTAND_OPERATOR_TOKEN)
  --help              print this text

Exit codes: 0 done, 1 rejected, unusable settings or an unknown request, 2 wrong
usage, 3 no entry instance or store responded (a ticket may then have been
accepted: apply it again with the same number).
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
  const { values, positionals } = parseFlags(args);
  const urls = values.url ?? environment.ENDIVESTAND_URL?.split(',') ?? [];
  const token = values['operator-token'] ?? environment[environmentVariableName('operator-token')] ?? '';
  const json = values.json ?? false;
  if (values.help === true) return { command: { kind: 'help' }, urls, token, json };
  const { store, output, 'dry-run': dryRun = false } = values;
  const command = parseCommand(positionals, { dryRun, store, output });
  if (isLocalCommand(command)) return { command, urls, token, json };
  if (urls.length === 0) throw new UsageError('Specify an entry instance with --url or ENDIVESTAND_URL.');
  if (token === '')
    throw new UsageError('Specify the token with --operator-token or ENDIVESTAND_OPERATOR_TOKEN.');
  return { command, urls, token, json };
}

function parseFlags(args: readonly string[]) {
  try {
    return parseArgs({
      args: [...args],
      allowPositionals: true,
      options: {
        'dry-run': { type: 'boolean' },
        json: { type: 'boolean' },
        url: { type: 'string', multiple: true },
        'operator-token': { type: 'string' },
        store: { type: 'string' },
        output: { type: 'string' },
        help: { type: 'boolean' },
      },
    });
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : String(error));
  }
}

interface CommandFlags {
  readonly dryRun: boolean;
  readonly store: string | undefined;
  readonly output: string | undefined;
}

function parseCommand(positionals: readonly string[], { dryRun, store, output }: CommandFlags): Command {
  const [first, second, third] = positionals;
  if (first === 'report' && second !== undefined)
    return { kind: 'report', files: positionals.slice(1), output: output ?? 'report.html' };
  if (output !== undefined) throw new UsageError('--output can be used only with report.');
  if (store !== undefined) {
    if (first === 'status' && positionals.length === 1) return { kind: 'store_status', storeAddress: store };
    const snapshot = parseSnapshotCommand(positionals, store);
    if (snapshot === null) throw new UsageError('--store can be used only with status and snapshot.');
    return snapshot;
  }
  if (first === 'snapshot') throw new UsageError('Specify the store with --store HOST:PORT.');
  if (first === 'apply' && second !== undefined && positionals.length === 2)
    return { kind: 'apply', file: second, dryRun };
  if (dryRun) throw new UsageError('--dry-run can be used only with apply.');
  const local = parseLocalCommand(positionals);
  if (local !== null) return local;
  if (first === 'ticket' && second === 'list' && positionals.length === 2) return { kind: 'list_tickets' };
  if (first === 'ticket' && second === 'show' && positionals.length === 3) {
    return { kind: 'show_ticket', number: parseTicketNumber(third) };
  }
  if (first === 'status' && positionals.length === 1) return { kind: 'status' };
  const listing = LISTINGS.find((name) => name === first);
  if (listing !== undefined && positionals.length === 1) return { kind: 'list', listing };
  throw new UsageError(
    positionals.length === 0 ? 'Specify a command.' : `"${positionals.join(' ')}" is not a command.`,
  );
}

function parseSnapshotCommand(positionals: readonly string[], storeAddress: string): LocalCommand | null {
  const [first, second, file] = positionals;
  if (first !== 'snapshot' || file === undefined || positionals.length !== 3) return null;
  if (second === 'save') return { kind: 'save_snapshot', storeAddress, file };
  return second === 'restore' ? { kind: 'restore_snapshot', storeAddress, file } : null;
}

function parseLocalCommand(positionals: readonly string[]): LocalCommand | null {
  const [first, second, ...files] = positionals;
  if (second === undefined) return null;
  if (first === 'check-settings' && files.length === 0) return { kind: 'check_settings', file: second };
  if (first === 'print-settings' && files.length === 0) return { kind: 'print_settings', file: second };
  return first === 'explain' && files.length > 0 ? { kind: 'explain', requestId: second, files } : null;
}

const LOCAL_KINDS: ReadonlySet<Command['kind']> = new Set<LocalCommand['kind']>([
  'check_settings',
  'print_settings',
  'explain',
  'report',
  'store_status',
  'save_snapshot',
  'restore_snapshot',
]);

/** Whether a command needs no entry instance. */
export function isLocalCommand(command: Command): command is LocalCommand {
  return LOCAL_KINDS.has(command.kind);
}

function parseTicketNumber(word: string | undefined): number {
  const number = Number(word);
  if (Number.isSafeInteger(number) && number > 0) return number;
  throw new UsageError(`"${word ?? ''}" is not a ticket number.`);
}
