/** Structured log of numbered events. */
import pino, { type DestinationStream, type Logger as PinoLogger } from 'pino';
import type { LogEvent } from './events_catalogue';

export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line per event; keys and tokens must never be passed as fields. */
export class Logger {
  private constructor(private readonly sink: PinoLogger) {}

  /** A logger on standard output, or on `destination`. */
  static create(options: { readonly level: string; readonly destination?: DestinationStream }): Logger {
    const config = { level: options.level, redact: ['authorization', 'key', 'token'] };
    return new Logger(options.destination ? pino(config, options.destination) : pino(config));
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
