/** Typed events between plug-ins. */
import type { EventLoop } from './event_loop';

/** Identifies an event by its name and carries the type of its payload. */
export interface EventType<T> {
  readonly name: string;
  /** Exists for type inference only and is never set. */
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

/** Delivers events to their subscribers; each handler runs in a turn of its own. */
export class EventBus {
  private readonly handlers = new Map<string, readonly ((payload: never) => void)[]>();

  constructor(private readonly loop: EventLoop) {}

  subscribe<T>(type: EventType<T>, handler: (payload: T) => void): void {
    const existing = this.handlers.get(type.name) ?? [];
    this.handlers.set(type.name, [...existing, handler]);
  }

  publish<T>(type: EventType<T>, payload: T): void {
    for (const handler of this.handlers.get(type.name) ?? []) {
      this.loop.post(() => {
        (handler as (payload: T) => void)(payload);
      });
    }
  }
}
