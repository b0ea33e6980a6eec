/** Structured log of numbered events. */
import pino, { type DestinationStream, type Logger as PinoLogger } from 'pino';
import type { LogEvent } from './events_catalogue';

/** Lines gathered before they are written, in bytes. */
const BUFFER_BYTES = 8_192;

/** Longest time for which a line is held back, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;

export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line per event; keys and tokens must never be passed as fields. */
export class Logger {
  private constructor(private readonly sink: PinoLogger) {}

  /** A logger on standard output, or on `destination`. */
  static create(options: { readonly level: string; readonly destination?: DestinationStream }): Logger {
    const config = { level: options.level, redact: ['authorization', 'key', 'token'] };
    return new Logger(options.destination ? pino(config, options.destination) : pino(config));
  }

  /**
   * A logger on standard output that writes several lines at once. Each write
   * costs processor time; what a killed process had not written is lost.
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
