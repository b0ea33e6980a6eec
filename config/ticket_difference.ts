/** Lists the fields that a change would alter. */
import { isDeepStrictEqual } from 'node:util';
import { objectName, type Change, type ConfigurationState } from './change';

/** A field before and after a change; `null` where the object does not exist. */
export interface FieldDifference {
  /** `kind/id` of the object. */
  readonly object: string;
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

/**
 * Returns the fields that `change` would alter, in the order of its objects. Instance
 * states are excluded because they are derived from the instances.
 *
 * @example
 * ```ts
 * ticketDifferences(state, change);
 * // [{ object: 'teams/desk-one', field: 'upperLimit', before: 16, after: 20 }]
 * ```
 */
export function ticketDifferences(state: ConfigurationState, change: Change): readonly FieldDifference[] {
  return change.objects
    .filter(({ kind }) => kind !== 'instanceStates')
    .flatMap(({ kind, objectId, value }) => {
      const before: unknown = state.fleet[kind].get(objectId);
      return fieldDifferences(objectName(kind, objectId), asFields(before), asFields(value));
    });
}

function fieldDifferences(object: string, before: Fields, after: Fields): readonly FieldDifference[] {
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map((field) => ({ object, field, before: before[field] ?? null, after: after[field] ?? null }));
}

function asFields(value: unknown): Fields {
  return typeof value === 'object' && value !== null ? (value as Fields) : {};
}
