#!/usr/bin/env node
/** Main function of the `endivestand` command for operators. */
import { readFile, writeFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { StoreUnavailableError } from '../store/row_store';
import { isLocalCommand, parseCommandLine, USAGE, UsageError } from './command_line';
import { OperatorClient, UnreachableError } from './operator_client';
import { runCommand } from './run_command';
import { runLocalCommand } from './run_local_command';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;
const EXIT_UNREACHABLE = 3;

async function main(): Promise<string> {
  const { command, urls, token, json } = parseCommandLine(process.argv.slice(2), process.env);
  if (command.kind === 'help') return USAGE;
  const readInput = (path: string): Promise<string> =>
    path === '-' ? text(process.stdin) : readFile(path, 'utf8');
  if (isLocalCommand(command)) return runLocalCommand(command, { json, readFile: readInput, writeFile });
  return runCommand(command, { client: new OperatorClient({ urls, token }), json, readFile: readInput });
}

function exitCodeOf(error: unknown): number {
  if (error instanceof UsageError) return EXIT_USAGE;
  const isUnreachable = error instanceof UnreachableError || error instanceof StoreUnavailableError;
  return isUnreachable ? EXIT_UNREACHABLE : EXIT_FAILURE;
}

main().then(
  (output) => {
    process.stdout.write(output, () => process.exit());
  },
  (error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    if (error instanceof UsageError) process.stderr.write('Run "endivestand --help" for the commands.\n');
    process.exitCode = exitCodeOf(error);
  },
);
