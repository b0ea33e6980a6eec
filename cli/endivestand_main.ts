#!/usr/bin/env node
/** Operator command. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { parseCommandLine, USAGE, UsageError } from './command_line';
import { OperatorClient, UnreachableError } from './operator_client';
import { runCommand } from './run_command';

const EXIT_REFUSED = 1;
const EXIT_USAGE = 2;
const EXIT_UNREACHABLE = 3;

async function main(): Promise<string> {
  const { command, urls, token, json } = parseCommandLine(process.argv.slice(2), process.env);
  if (command.kind === 'help') return USAGE;
  return runCommand(command, {
    client: new OperatorClient({ urls, token }),
    json,
    readFile: (path) => (path === '-' ? text(process.stdin) : readFile(path, 'utf8')),
  });
}

function exitCodeOf(error: unknown): number {
  if (error instanceof UsageError) return EXIT_USAGE;
  return error instanceof UnreachableError ? EXIT_UNREACHABLE : EXIT_REFUSED;
}

main().then(
  (output) => {
    process.stdout.write(output);
  },
  (error: unknown) => {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    if (error instanceof UsageError) process.stderr.write('Run "endivestand --help" for the commands.\n');
    process.exitCode = exitCodeOf(error);
  },
);
