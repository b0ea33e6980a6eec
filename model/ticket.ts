/** Numbered change tickets. */
import { z } from 'zod';
import {
  instanceSchema,
  keySchema,
  poolSchema,
  queueSchema,
  teamSchema,
  waveSchema,
  type FleetConfiguration,
} from './fleet';

const objectIds = z.array(z.string()).readonly().default([]);

/** A change ticket: the complete new state of the objects that it sets, and the ids of those that it removes. */
export const ticketSchema = z.strictObject({
  number: z.int().min(1),
  set: z
    .strictObject({
      teams: z.array(teamSchema).readonly().default([]),
      keys: z.array(keySchema).readonly().default([]),
      pools: z.array(poolSchema).readonly().default([]),
      queues: z.array(queueSchema).readonly().default([]),
      instances: z.array(instanceSchema).readonly().default([]),
      waves: z.array(waveSchema).readonly().default([]),
    })
    .prefault({}),
  remove: z
    .strictObject({
      teams: objectIds,
      keys: objectIds,
      pools: objectIds,
      queues: objectIds,
      instances: objectIds,
      waves: objectIds,
    })
    .prefault({}),
});

export type Ticket = Readonly<z.infer<typeof ticketSchema>>;

/** Kinds of configuration objects, under the names that tickets and table rows use. */
export type ObjectKind = Exclude<keyof FleetConfiguration, 'revision'>;

/** Kinds that tickets set or remove; instance states are derived from the instances. */
export const TICKET_KINDS = ['teams', 'keys', 'pools', 'queues', 'instances', 'waves'] as const;

export type TicketKind = (typeof TICKET_KINDS)[number];

export const OBJECT_KINDS: readonly ObjectKind[] = [...TICKET_KINDS, 'instanceStates'];
