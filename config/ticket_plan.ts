/** Turns a ticket into a change, checked against the configuration it would produce. */
import type { FleetConfiguration, InstanceState } from '../model/fleet';
import { TICKET_KINDS, type Ticket, type TicketKind } from '../model/ticket';
import { applyChange, objectName, type Change, type ConfigurationState, type ObjectChange } from './change';

/** The change a ticket makes, or the reasons why it makes none. */
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
 * Plans a ticket against the current state. Objects that a higher ticket
 * number has set are left as they are and listed as superseded.
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

/** New instances start in their configured pool; removed ones lose their state. Moves are made by maintenance. */
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

/** References that lead nowhere in a configuration, each as a sentence. */
export function findProblems(fleet: FleetConfiguration): readonly string[] {
  const problems: string[] = [];
  const needPool = (owner: string, poolId: string): void => {
    if (!fleet.pools.has(poolId)) problems.push(`${owner} names the pool ${poolId}, which does not exist.`);
  };
  const needTeam = (owner: string, teamId: string): void => {
    if (!fleet.teams.has(teamId)) problems.push(`${owner} names the team ${teamId}, which does not exist.`);
  };
  for (const key of fleet.keys.values()) needTeam(`Key ${key.keyId}`, key.teamId);
  problems.push(...sharedKeys(fleet), ...sharedAddresses(fleet));
  for (const queue of fleet.queues.values()) {
    needPool(`Queue ${queue.queueId}`, queue.poolId);
    for (const teamId of queue.teamIds) needTeam(`Queue ${queue.queueId}`, teamId);
  }
  for (const instance of fleet.instances.values())
    needPool(`Instance ${instance.instanceId}`, instance.poolId);
  for (const state of fleet.instanceStates.values()) needPool(`Instance ${state.instanceId}`, state.poolId);
  for (const wave of fleet.waves.values()) {
    needPool(`Wave ${wave.waveId}`, wave.poolId);
    for (const instanceId of wave.instanceIds) {
      if (!fleet.instances.has(instanceId)) {
        problems.push(`Wave ${wave.waveId} names the instance ${instanceId}, which does not exist.`);
      }
    }
  }
  return problems;
}

/** One secret must not stand for two keys: it would be open for which team it runs work. */
function sharedKeys(fleet: FleetConfiguration): readonly string[] {
  const keys = [...fleet.keys.values()];
  return repeated(keys, ({ keyHashHex }) => keyHashHex).map(
    ([first, second]) => `Keys ${first.keyId} and ${second.keyId} have the same hash.`,
  );
}

/** One machine under two ids could be in two pools. */
function sharedAddresses(fleet: FleetConfiguration): readonly string[] {
  const instances = [...fleet.instances.values()];
  return repeated(instances, ({ host, port }) => `${host}:${port}`).map(
    ([first, second]) => `Instances ${first.instanceId} and ${second.instanceId} have the same address.`,
  );
}

/** Each item whose value an earlier one has, after that earlier one. */
function repeated<T>(items: readonly T[], valueOf: (item: T) => string): readonly (readonly [T, T])[] {
  const firstByValue = new Map<string, T>();
  return items.flatMap((item): readonly (readonly [T, T])[] => {
    const first = firstByValue.get(valueOf(item));
    if (first !== undefined) return [[first, item]];
    firstByValue.set(valueOf(item), item);
    return [];
  });
}
