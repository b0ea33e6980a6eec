/** Finds the log events of one request in the log files of the system's processes. */
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { parseLogLine, type LogLine } from './log_line';
import { renderTable } from './render';

/** Events about the placement leader, the rules and the store, which are shown with the events of any request. */
const CONTEXT_EVENTS: ReadonlySet<number> = new Set(
  [
    LOG_EVENTS.leadershipLost,
    LOG_EVENTS.leaseAcquired,
    LOG_EVENTS.storeUnreachable,
    LOG_EVENTS.storeReachable,
    LOG_EVENTS.rulesApplied,
  ].map(({ id }) => id),
);

/**
 * Context events are shown if they are at most this much earlier than the
 * request's first event or later than its last, in milliseconds. A new placement
 * leader takes over within 3 s.
 */
const CONTEXT_MARGIN_MS = 3_000;

/** One line that is shown. */
export interface ExplainedLine extends LogLine {
  /** Whether the line contains the request id; the other lines are context events. */
  readonly namesRequest: boolean;
}

export interface Explanation {
  readonly requestId: string;
  /** The request's events and the context events near them, in chronological order. */
  readonly lines: readonly ExplainedLine[];
  /** Number of lines that are not log lines or are truncated. */
  readonly unreadable: number;
}

/**
 * Collects the log lines that contain a request id, and the context events near
 * them. Text before the JSON of a line, as a log collector may add it, is skipped.
 *
 * @example
 * ```ts
 * const { lines, unreadable } = explainRequest('5c0e7a21d94b36f8', logText.split('\n'));
 * ```
 */
export function explainRequest(requestId: string, logLines: Iterable<string>): Explanation {
  const requestLines: ExplainedLine[] = [];
  const contextLines: ExplainedLine[] = [];
  let unreadable = 0;
  for (const text of logLines) {
    const namesRequest = text.includes(requestId);
    if (text.trim() === '') continue;
    const line = parseLogLine(text);
    if (line === null) unreadable += 1;
    else if (namesRequest) requestLines.push({ ...line, namesRequest });
    else if (CONTEXT_EVENTS.has(line.eventId)) contextLines.push({ ...line, namesRequest });
  }
  const times = requestLines.map(({ timeMs }) => timeMs);
  const fromMs = Math.min(...times) - CONTEXT_MARGIN_MS;
  const untilMs = Math.max(...times) + CONTEXT_MARGIN_MS;
  const nearbyContextLines = contextLines.filter(({ timeMs }) => timeMs >= fromMs && timeMs <= untilMs);
  const lines =
    requestLines.length === 0
      ? []
      : [...requestLines, ...nearbyContextLines].sort((a, b) => a.timeMs - b.timeMs);
  return { requestId, lines, unreadable };
}

/** Renders an explanation as a text table; times are in milliseconds since the first line. */
export function renderExplanation({ requestId, lines, unreadable }: Explanation): string {
  const [first] = lines;
  const rows = lines.map((line) => ({
    afterMs: String(Math.round(line.timeMs - (first?.timeMs ?? 0))),
    process: line.process,
    event: `${line.eventId} ${line.event}`,
    details: `${line.namesRequest ? '' : '(context) '}${renderDetails(line, requestId)}`,
  }));
  const note = unreadable === 0 ? '' : `${unreadable} lines could not be read and were skipped.\n`;
  if (rows.length === 0) return `No log line contains "${requestId}".\n${note}`;
  return `${renderTable(rows)}${note}`;
}

function renderDetails({ fields }: ExplainedLine, requestId: string): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== requestId && value !== null)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}
