/** Executes a command that needs no entry instance. */
import { match } from 'ts-pattern';
import { HttpRowStore } from '../platform/http_row_store';
import { WirePlatformRowCodec } from '../platform/wire_platform_row_codec';
import type { LocalCommand } from './command_line';
import { explainRequest, renderExplanation } from './explain';
import { checkSettings, printSettings } from './node_settings_report';
import { writeReport } from './report_command';
import { loadSnapshot, saveSnapshot } from './snapshot_command';
import { readStoreStatus, renderStoreStatus } from './store_status';

/** No log line contains the request id; the message is the text for the operator. */
export class UnknownRequestError extends Error {
  override readonly name = 'UnknownRequestError';
}

export interface RunLocalCommandOptions {
  readonly json: boolean;
  readonly readFile: (path: string) => Promise<string>;
  readonly writeFile: (path: string, text: string) => Promise<void>;
}

/**
 * Resolves to the text to print. Throws `UnusableSettingsError`,
 * {@link UnknownRequestError}, `StoreUnavailableError`, or an error of the file
 * system.
 */
export function runLocalCommand(command: LocalCommand, options: RunLocalCommandOptions): Promise<string> {
  const { json, readFile } = options;
  return match(command)
    .with({ kind: 'check_settings' }, async ({ file }) => checkSettings(await readFile(file)))
    .with({ kind: 'print_settings' }, async ({ file }) => printSettings(await readFile(file), json))
    .with({ kind: 'explain' }, ({ requestId, files }) => explain(requestId, files, options))
    .with({ kind: 'report' }, ({ files, output }) => writeReport(files, output))
    .with({ kind: 'store_status' }, async ({ storeAddress }) => {
      const store = new HttpRowStore(storeAddress);
      const status = await readStoreStatus({ store, rowCodec: new WirePlatformRowCodec() });
      return json ? `${JSON.stringify(status, null, 2)}\n` : renderStoreStatus(status);
    })
    .with({ kind: 'save_snapshot' }, ({ storeAddress, file }) =>
      saveSnapshot(new HttpRowStore(storeAddress), file, options),
    )
    .with({ kind: 'restore_snapshot' }, ({ storeAddress, file }) =>
      loadSnapshot(new HttpRowStore(storeAddress), file, options),
    )
    .exhaustive();
}

async function explain(
  requestId: string,
  files: readonly string[],
  { json, readFile }: RunLocalCommandOptions,
): Promise<string> {
  const texts = await Promise.all(files.map(readFile));
  const explanation = explainRequest(
    requestId,
    texts.flatMap((text) => text.split('\n')),
  );
  if (explanation.lines.length === 0) throw new UnknownRequestError(renderExplanation(explanation).trimEnd());
  return json ? `${JSON.stringify(explanation, null, 2)}\n` : renderExplanation(explanation);
}
