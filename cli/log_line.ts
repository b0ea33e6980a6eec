/** Lines of the logs that the system's processes write. */

/** Fields that every line has and that carry no information about the request. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'pid', 'hostname', 'eventId', 'msg']);

/** One line of a log. */
export interface LogLine {
  /** Unix time, in milliseconds, by the clock of the process. */
  readonly timeMs: number;
  readonly process: string;
  readonly eventId: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line. Text before its JSON, as a log collector may add it, is skipped. Returns
 * `null` for a line that is truncated or no log line.
 *
 * @example
 * ```ts
 * const line = parseLogLine('{"time":1,"eventId":713,"hostname":"front-1","msg":"placement lease acquired"}');
 * ```
 */
export function parseLogLine(text: string): LogLine | null {
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
  };
}

function parseObject(json: string): Readonly<Record<string, unknown>> | null {
  try {
    const value = JSON.parse(json) as unknown;
    return typeof value === 'object' && value !== null ? (value as Readonly<Record<string, unknown>>) : null;
  } catch {
    // A line that was being written when its process ended is truncated; the caller counts it.
    return null;
  }
}
