/** Typed names under which plug-ins offer their services to each other. */

/** Names a service and carries its type. */
export interface Capability<T> {
  readonly name: string;
  /** Present in the type only. */
  readonly service?: T;
}

/**
 * Declares a capability.
 *
 * @example
 * ```ts
 * export const TABLE_SERVICE = capability<TableService>('platform.table');
 * ```
 */
export function capability<T>(name: string): Capability<T> {
  return { name };
}
