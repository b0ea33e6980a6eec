/** Executes a command that calls an entry instance. */
import { match } from 'ts-pattern';
import type { Command, LocalCommand } from './command_line';
import type { OperatorClient } from './operator_client';
import { renderFields, renderTable } from './render';

export interface RunCommandOptions {
  readonly client: OperatorClient;
  readonly json: boolean;
  readonly readFile: (path: string) => Promise<string>;
}

/** Resolves to the text to print. Throws `OperatorRequestRejectedError` or `UnreachableError`. */
export async function runCommand(
  command: Exclude<Command, LocalCommand | { kind: 'help' }>,
  options: RunCommandOptions,
): Promise<string> {
  const { client } = options;
  const responseBody = (await match(command)
    .with({ kind: 'apply' }, async ({ file, dryRun }) =>
      client.post(`/v1/tickets${dryRun ? '?dryRun=true' : ''}`, await options.readFile(file)),
    )
    .with({ kind: 'show_ticket' }, ({ number }) => client.get(`/v1/tickets/${number}`))
    .with({ kind: 'list_tickets' }, () => client.get('/v1/tickets'))
    .with({ kind: 'status' }, () => client.get('/v1/status'))
    .with({ kind: 'list' }, ({ listing }) => client.get(`/v1/${listing}`))
    .exhaustive()) as Readonly<Record<string, unknown>>;
  if (options.json) return `${JSON.stringify(responseBody, null, 2)}\n`;
  return match(command)
    .with({ kind: 'list' }, ({ listing }) => renderTable(asRows(responseBody[listing])))
    .with({ kind: 'list_tickets' }, () => renderTable(asRows(responseBody.tickets)))
    .with({ kind: 'apply' }, () => renderTicketResult(responseBody))
    .otherwise(() => renderFields(responseBody));
}

function renderTicketResult({ differences, ...result }: Readonly<Record<string, unknown>>): string {
  const fields = renderFields(result);
  return differences === undefined ? fields : `${fields}\n${renderTable(asRows(differences))}`;
}

function asRows(value: unknown): readonly Readonly<Record<string, unknown>>[] {
  return Array.isArray(value) ? (value as readonly Readonly<Record<string, unknown>>[]) : [];
}
