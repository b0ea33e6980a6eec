/** Entries of the change log and their effect on the configuration. */
import type { FleetConfiguration } from '../model/fleet';
import { OBJECT_KINDS, type ObjectKind } from '../model/ticket';

/** The new state of one object; `null` removes it. */
export interface ObjectChange {
  readonly kind: ObjectKind;
  readonly objectId: string;
  readonly value: unknown;
}

/** The objects that one revision changes. Changes that maintenance makes to instance states have no ticket number. */
export interface Change {
  readonly revision: number;
  readonly ticketNumber: number | null;
  readonly objects: readonly ObjectChange[];
}

/** The configuration and, per `kind/id`, the number of the ticket that last set or removed the object. */
export interface ConfigurationState {
  readonly fleet: FleetConfiguration;
  readonly ticketNumbers: ReadonlyMap<string, number>;
}

/** Row value of `config/<kind>/<id>`; a removed object stays as a tombstone with a `null` value. */
export interface ObjectRow {
  readonly ticketNumber: number | null;
  readonly value: unknown;
}

export function objectName(kind: ObjectKind, objectId: string): string {
  return `${kind}/${objectId}`;
}

export function objectKey(kind: ObjectKind, objectId: string): string {
  return `config/${objectName(kind, objectId)}`;
}

export function changeKey(revision: number): string {
  return `change/${revision}`;
}

/** Returns the state after `change`. */
export function applyChange(state: ConfigurationState, change: Change): ConfigurationState {
  return applyChanges(state, [change]);
}

/** Returns the state after `changes`, applied in order. Each map is copied at most once for the whole batch. */
export function applyChanges(state: ConfigurationState, changes: readonly Change[]): ConfigurationState {
  const last = changes.at(-1);
  if (last === undefined) return state;
  const copies = new Map<ObjectKind, Map<string, unknown>>();
  const newNumbers: (readonly [string, number])[] = [];
  for (const { ticketNumber, objects } of changes) {
    for (const { kind, objectId, value } of objects) {
      const copy = copies.get(kind) ?? new Map<string, unknown>(state.fleet[kind]);
      if (value === null) copy.delete(objectId);
      else copy.set(objectId, value);
      copies.set(kind, copy);
      if (ticketNumber !== null) newNumbers.push([objectName(kind, objectId), ticketNumber]);
    }
  }
  const fleet = { ...state.fleet, ...Object.fromEntries(copies), revision: last.revision };
  return { fleet, ticketNumbers: withTicketNumbers(state.ticketNumbers, newNumbers) };
}

/** Returns the numbers with `additions`; `numbers` itself if there are none, as for changes of instance states. */
function withTicketNumbers(
  numbers: ReadonlyMap<string, number>,
  additions: readonly (readonly [string, number])[],
): ReadonlyMap<string, number> {
  return additions.length === 0 ? numbers : new Map([...numbers, ...additions]);
}

/** Builds the state from the rows under `config/`. */
export function loadState(
  revision: number,
  rows: readonly { readonly key: string; readonly value: unknown }[],
): ConfigurationState {
  const ticketNumbers = new Map<string, number>();
  const maps = new Map(OBJECT_KINDS.map((kind) => [kind, new Map<string, unknown>()]));
  for (const row of rows) {
    const [, kind, objectId] = row.key.split('/');
    const objects = maps.get(kind as ObjectKind);
    if (objects === undefined || kind === undefined || objectId === undefined) continue;
    const { ticketNumber, value } = row.value as ObjectRow;
    if (ticketNumber !== null) ticketNumbers.set(objectName(kind as ObjectKind, objectId), ticketNumber);
    if (value !== null) objects.set(objectId, value);
  }
  const fleet = { ...Object.fromEntries(maps), revision } as unknown as FleetConfiguration;
  return { fleet, ticketNumbers };
}
