/** Structured log of numbered events. */
import pino, { type DestinationStream, type Logger as PinoLogger } from 'pino';
import type { LogEvent } from './events_catalogue';

/** Amount of log text that is buffered before it is written, in bytes. */
const BUFFER_BYTES = 8_192;

/** Maximum time for which a line is buffered, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;

export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line per event; keys and tokens must never be passed as fields. */
export class Logger {
  private constructor(private readonly sink: PinoLogger) {}

  /** Creates a logger that writes to standard output, or to `destination`. */
  static create(options: { readonly level: string; readonly destination?: DestinationStream }): Logger {
    const config = { level: options.level, redact: ['authorization', 'key', 'token'] };
    return new Logger(options.destination ? pino(config, options.destination) : pino(config));
  }

  /**
   * Creates a logger that buffers lines for standard output, since each write
   * costs processor time. The buffered lines of a killed process are lost.
   */
  static buffered(options: { readonly level: string }): Logger {
    const destination = pino.destination({ dest: 1, sync: true, minLength: BUFFER_BYTES });
    setInterval(() => {
      destination.flushSync();
    }, FLUSH_INTERVAL_MS).unref();
    process.once('exit', () => {
      destination.flushSync();
    });
    return Logger.create({ ...options, destination });
  }

  info(event: LogEvent, fields: LogFields = {}): void {
    this.sink.info({ eventId: event.id, ...fields }, event.name);
  }

  warn(event: LogEvent, fields: LogFields = {}): void {
    this.sink.warn({ eventId: event.id, ...fields }, event.name);
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    this.sink.error({ eventId: event.id, ...fields }, event.name);
  }
}
