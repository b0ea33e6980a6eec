/** Typed keys under which plug-ins provide services to each other. */

/** Identifies a service by its name and carries the service's type. */
export interface Capability<T> {
  readonly name: string;
  /** Exists for type inference only and is never set. */
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
