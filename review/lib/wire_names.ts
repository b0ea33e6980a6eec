/** Names of the platform's interfaces. They stand in a data file: no module outside `platform/` contains them. */
import { readFileSync } from 'node:fs';

type WireName =
  | 'runStart'
  | 'runStop'
  | 'rowsTx'
  | 'rowsGet'
  | 'rowsFeed'
  | 'machineMove'
  | 'machineUpkeep'
  | 'fenceToken'
  | 'lastSeen'
  | 'cloudApi'
  | 'pathPrefix'
  | 'memMb';

export const WIRE = JSON.parse(readFileSync('review/lib/wire.json', 'utf8')) as Readonly<
  Record<WireName, string>
>;
