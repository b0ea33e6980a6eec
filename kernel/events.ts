/** Typed events between plug-ins. */
import type { EventLoop } from './event_loop';

/** Names an event and carries the type of its payload. */
export interface EventType<T> {
  readonly name: string;
  /** Present in the type only. */
  readonly payload?: T;
}

/**
 * Declares an event.
 *
 * @example
 * ```ts
 * const targetLeft = eventType<{ readonly instanceId: string }>('target.left');
 * ```
 */
export function eventType<T>(name: string): EventType<T> {
  return { name };
}

/** Delivers events; every handler runs in a turn of its own. */
export class EventBus {
  private readonly handlers = new Map<string, readonly ((payload: never) => void)[]>();

  constructor(private readonly loop: EventLoop) {}

  subscribe<T>(type: EventType<T>, handler: (payload: T) => void): void {
    const known = this.handlers.get(type.name) ?? [];
    this.handlers.set(type.name, [...known, handler]);
  }

  publish<T>(type: EventType<T>, payload: T): void {
    for (const handler of this.handlers.get(type.name) ?? []) {
      this.loop.post(() => {
        (handler as (payload: T) => void)(payload);
      });
    }
  }
}
