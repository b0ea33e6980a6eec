/** Carries out one operator command. */
import { match } from 'ts-pattern';
import type { Command, LocalCommand } from './command_line';
import type { OperatorClient } from './operator_client';
import { renderFields, renderTable } from './render';

export interface RunCommandOptions {
  readonly client: OperatorClient;
  readonly json: boolean;
  readonly readFile: (path: string) => Promise<string>;
}

/** Resolves with the text to print. Throws `OperatorRefusedError` or `UnreachableError`. */
export async function runCommand(
  command: Exclude<Command, LocalCommand | { kind: 'help' }>,
  options: RunCommandOptions,
): Promise<string> {
  const { client } = options;
  const answer = (await match(command)
    .with({ kind: 'apply' }, async ({ file, dryRun }) =>
      client.post(`/v1/tickets${dryRun ? '?dryRun=true' : ''}`, await options.readFile(file)),
    )
    .with({ kind: 'show_ticket' }, ({ number }) => client.get(`/v1/tickets/${number}`))
    .with({ kind: 'list_tickets' }, () => client.get('/v1/tickets'))
    .with({ kind: 'status' }, () => client.get('/v1/status'))
    .with({ kind: 'list' }, ({ listing }) => client.get(`/v1/${listing}`))
    .exhaustive()) as Readonly<Record<string, unknown>>;
  if (options.json) return `${JSON.stringify(answer, null, 2)}\n`;
  return match(command)
    .with({ kind: 'list' }, ({ listing }) => renderTable(asRows(answer[listing])))
    .with({ kind: 'list_tickets' }, () => renderTable(asRows(answer.tickets)))
    .with({ kind: 'apply' }, () => renderTicketResult(answer))
    .otherwise(() => renderFields(answer));
}

function renderTicketResult({ differences, ...result }: Readonly<Record<string, unknown>>): string {
  const fields = renderFields(result);
  return differences === undefined ? fields : `${fields}\n${renderTable(asRows(differences))}`;
}

function asRows(value: unknown): readonly Readonly<Record<string, unknown>>[] {
  return Array.isArray(value) ? (value as readonly Readonly<Record<string, unknown>>[]) : [];
}
