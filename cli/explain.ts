/** Finds the decisions on one request in the log files of the system's processes. */
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { renderTable } from './render';

/** Events that say whether anybody placed and who reached the store; shown beside the request's own, whatever it is. */
const SURROUNDING_EVENTS: ReadonlySet<number> = new Set(
  [
    LOG_EVENTS.leadershipLost,
    LOG_EVENTS.leaseAcquired,
    LOG_EVENTS.storeUnreachable,
    LOG_EVENTS.storeReachable,
    LOG_EVENTS.rulesApplied,
  ].map(({ id }) => id),
);

/** Surroundings are shown from this long before the request's first event until this long after its last, in milliseconds: a role without a holder is taken over within 3 s. */
const SURROUNDINGS_MS = 3_000;

/** Fields that each line has and that say nothing about the request. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'pid', 'hostname', 'eventId', 'msg']);

/** One line of a log. */
export interface LogLine {
  /** Unix time, in milliseconds, by the clock of the process. */
  readonly timeMs: number;
  readonly process: string;
  readonly eventId: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly namesRequest: boolean;
}

export interface Explanation {
  readonly requestId: string;
  /** The request's events and its surroundings, in order of time. */
  readonly lines: readonly LogLine[];
  /** Lines that are not log lines, or are cut off. */
  readonly unreadable: number;
}

/**
 * Collects what the logs say about a request. Text before the JSON of a line,
 * as a collector may add it, is passed over.
 *
 * @example
 * ```ts
 * const { lines, unreadable } = explainRequest('5c0e7a21d94b36f8', logText.split('\n'));
 * ```
 */
export function explainRequest(requestId: string, logLines: Iterable<string>): Explanation {
  const own: LogLine[] = [];
  const surroundings: LogLine[] = [];
  let unreadable = 0;
  for (const text of logLines) {
    const namesRequest = text.includes(requestId);
    if (text.trim() === '') continue;
    const line = parseLine(text, namesRequest);
    if (line === null) unreadable += 1;
    else if (namesRequest) own.push(line);
    else if (SURROUNDING_EVENTS.has(line.eventId)) surroundings.push(line);
  }
  const times = own.map(({ timeMs }) => timeMs);
  const fromMs = Math.min(...times) - SURROUNDINGS_MS;
  const untilMs = Math.max(...times) + SURROUNDINGS_MS;
  const near = surroundings.filter(({ timeMs }) => timeMs >= fromMs && timeMs <= untilMs);
  const lines = own.length === 0 ? [] : [...own, ...near].sort((a, b) => a.timeMs - b.timeMs);
  return { requestId, lines, unreadable };
}

/** A table for people; times are in milliseconds since the first line. */
export function renderExplanation({ requestId, lines, unreadable }: Explanation): string {
  const [first] = lines;
  const rows = lines.map((line) => ({
    afterMs: String(Math.round(line.timeMs - (first?.timeMs ?? 0))),
    process: line.process,
    event: `${line.eventId} ${line.event}`,
    details: `${line.namesRequest ? '' : '(surroundings) '}${details(line, requestId)}`,
  }));
  const note = unreadable === 0 ? '' : `${unreadable} lines could not be read and were passed over.\n`;
  if (rows.length === 0) return `No log line names "${requestId}".\n${note}`;
  return `${renderTable(rows)}${note}`;
}

function details({ fields }: LogLine, requestId: string): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== requestId && value !== null)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

function parseLine(text: string, namesRequest: boolean): LogLine | null {
  const start = text.indexOf('{');
  if (start < 0) return null;
  const entry = parseObject(text.slice(start));
  if (entry === null) return null;
  const { time, hostname, eventId, msg } = entry;
  if (typeof time !== 'number' || typeof eventId !== 'number') return null;
  const fields = Object.fromEntries(Object.entries(entry).filter(([name]) => !COMMON_FIELDS.has(name)));
  return {
    timeMs: time,
    process: typeof hostname === 'string' ? hostname : '-',
    eventId,
    event: typeof msg === 'string' ? msg : '',
    fields,
    namesRequest,
  };
}

function parseObject(json: string): Readonly<Record<string, unknown>> | null {
  try {
    const value = JSON.parse(json) as unknown;
    return typeof value === 'object' && value !== null ? (value as Readonly<Record<string, unknown>>) : null;
  } catch {
    // Counted by the caller: a line that was being written when its process ended is cut off.
    return null;
  }
}
