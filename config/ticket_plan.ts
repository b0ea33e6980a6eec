/** Converts a ticket into a change and validates the resulting configuration. */
import type { FleetConfiguration, InstanceState } from '../model/fleet';
import { TICKET_KINDS, type Ticket, type TicketKind } from '../model/ticket';
import { applyChange, objectName, type Change, type ConfigurationState, type ObjectChange } from './change';

/** The change that a ticket makes, or the problems that make the ticket invalid. */
export type TicketPlan =
  | { readonly kind: 'change'; readonly change: Change; readonly superseded: readonly string[] }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

const ID_FIELDS = {
  teams: 'teamId',
  keys: 'keyId',
  pools: 'poolId',
  queues: 'queueId',
  instances: 'instanceId',
  waves: 'waveId',
} as const satisfies Record<TicketKind, string>;

/**
 * Plans a ticket against the current state. Objects that were last set or
 * removed by a higher ticket number are not changed and are listed as superseded.
 *
 * @example
 * ```ts
 * const plan = planTicket(state, ticketSchema.parse({ number: 7, set: { teams: [team] } }));
 * ```
 */
export function planTicket(state: ConfigurationState, ticket: Ticket): TicketPlan {
  const objects = ticketObjects(ticket);
  const duplicates = findDuplicates(objects);
  if (duplicates.length > 0) {
    return { kind: 'invalid', problems: duplicates.map((name) => `The ticket touches ${name} twice.`) };
  }
  const isSuperseded = (object: ObjectChange): boolean =>
    (state.ticketNumbers.get(objectName(object.kind, object.objectId)) ?? 0) > ticket.number;
  const superseded = objects.filter(isSuperseded).map((object) => objectName(object.kind, object.objectId));
  const effective = objects.filter((object) => !isSuperseded(object));
  const change: Change = {
    revision: state.fleet.revision + 1,
    ticketNumber: ticket.number,
    objects: [...effective, ...instanceStateChanges(state.fleet, effective)],
  };
  const problems = findProblems(applyChange(state, change).fleet);
  return problems.length > 0 ? { kind: 'invalid', problems } : { kind: 'change', change, superseded };
}

function ticketObjects(ticket: Ticket): readonly ObjectChange[] {
  return TICKET_KINDS.flatMap((kind) => {
    const objects: readonly object[] = ticket.set[kind];
    const set = objects.map((value) => ({ kind, objectId: idOf(kind, value), value }));
    const removed = ticket.remove[kind].map((objectId) => ({ kind, objectId, value: null }));
    return [...set, ...removed];
  });
}

function idOf(kind: TicketKind, value: object): string {
  return (value as Readonly<Record<string, string>>)[ID_FIELDS[kind]] ?? '';
}

function findDuplicates(objects: readonly ObjectChange[]): readonly string[] {
  const names = objects.map((object) => objectName(object.kind, object.objectId));
  return [...new Set(names.filter((name, index) => names.indexOf(name) !== index))];
}

/**
 * Creates the states of new instances in their configured pool and removes those of
 * removed ones. Maintenance moves existing instances.
 */
function instanceStateChanges(
  fleet: FleetConfiguration,
  objects: readonly ObjectChange[],
): readonly ObjectChange[] {
  return objects
    .filter((object) => object.kind === 'instances')
    .flatMap((object): readonly ObjectChange[] => {
      if (object.value === null) return [{ kind: 'instanceStates', objectId: object.objectId, value: null }];
      if (fleet.instanceStates.has(object.objectId)) return [];
      const { poolId } = object.value as { readonly poolId: string };
      const value: InstanceState = {
        instanceId: object.objectId,
        poolId,
        movingTo: null,
        state: 'serving',
        epoch: 0,
      };
      return [{ kind: 'instanceStates', objectId: object.objectId, value }];
    });
}

/** Returns a sentence for each reference to an object that does not exist and each duplicate key or address. */
export function findProblems(fleet: FleetConfiguration): readonly string[] {
  const problems: string[] = [];
  const requirePool = (owner: string, poolId: string): void => {
    if (!fleet.pools.has(poolId)) problems.push(`${owner} names the pool ${poolId}, which does not exist.`);
  };
  const requireTeam = (owner: string, teamId: string): void => {
    if (!fleet.teams.has(teamId)) problems.push(`${owner} names the team ${teamId}, which does not exist.`);
  };
  for (const key of fleet.keys.values()) requireTeam(`Key ${key.keyId}`, key.teamId);
  problems.push(...keysWithSameHash(fleet), ...instancesWithSameAddress(fleet));
  for (const queue of fleet.queues.values()) {
    requirePool(`Queue ${queue.queueId}`, queue.poolId);
    for (const teamId of queue.teamIds) requireTeam(`Queue ${queue.queueId}`, teamId);
  }
  for (const instance of fleet.instances.values())
    requirePool(`Instance ${instance.instanceId}`, instance.poolId);
  for (const state of fleet.instanceStates.values())
    requirePool(`Instance ${state.instanceId}`, state.poolId);
  for (const wave of fleet.waves.values()) {
    requirePool(`Wave ${wave.waveId}`, wave.poolId);
    for (const instanceId of wave.instanceIds) {
      if (!fleet.instances.has(instanceId)) {
        problems.push(`Wave ${wave.waveId} names the instance ${instanceId}, which does not exist.`);
      }
    }
  }
  return problems;
}

/** Keys with the same secret are invalid because the team of a request would be ambiguous. */
function keysWithSameHash(fleet: FleetConfiguration): readonly string[] {
  const keys = [...fleet.keys.values()];
  return duplicatesBy(keys, ({ keyHashHex }) => keyHashHex).map(
    ([first, second]) => `Keys ${first.keyId} and ${second.keyId} have the same hash.`,
  );
}

/** Instances with the same address are invalid because one machine could be in two pools. */
function instancesWithSameAddress(fleet: FleetConfiguration): readonly string[] {
  const instances = [...fleet.instances.values()];
  return duplicatesBy(instances, ({ host, port }) => `${host}:${port}`).map(
    ([first, second]) => `Instances ${first.instanceId} and ${second.instanceId} have the same address.`,
  );
}

/** Pairs every item whose value is not unique with the first item that has the value. */
function duplicatesBy<T>(items: readonly T[], valueOf: (item: T) => string): readonly (readonly [T, T])[] {
  const firstByValue = new Map<string, T>();
  return items.flatMap((item): readonly (readonly [T, T])[] => {
    const first = firstByValue.get(valueOf(item));
    if (first !== undefined) return [[first, item]];
    firstByValue.set(valueOf(item), item);
    return [];
  });
}
