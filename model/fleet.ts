/** Configuration objects that change tickets create, replace and remove. */
import { z } from 'zod';

const id = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_" and "-"');
const count = z.int().min(0).max(1_000_000);

/** A customer of the fleet: its weight when the fleet is full and its upper limit of running work. */
export const teamSchema = z.strictObject({
  teamId: id,
  shareWeight: z.number().positive().max(1_000_000),
  upperLimit: count,
});

/** A key of a team; only its SHA-256 hash is kept. */
export const keySchema = z.strictObject({
  keyId: id,
  teamId: id,
  keyHashHex: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in lower-case hexadecimal'),
});

/** How much of a pool may be unavailable at once, planned and unplanned together. */
export const poolSchema = z.strictObject({
  poolId: id,
  maxUnavailable: count,
  spare: z.boolean().default(false),
});

/** Where callers send requests. */
export const queueSchema = z.strictObject({
  queueId: id,
  poolId: id,
  /** Requests without a key are accepted and run for no team. */
  openToAll: z.boolean().default(false),
  /** Teams that may use the queue; empty means every team. */
  teamIds: z.array(id).readonly().default([]),
  /** Every request of the queue may be repeated safely, whatever its method. */
  idempotent: z.boolean().default(false),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  deadlineMs: z.int().min(1).max(60_000).default(30_000),
});

/** An instance that serves a pool. */
export const instanceSchema = z.strictObject({
  instanceId: id,
  poolId: id,
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  availabilityZone: id,
  rack: id,
  slots: z.int().min(1).max(4096).default(8),
  connections: z.int().min(1).max(65_536).default(64),
  processors: z.int().min(1).max(4096).default(32),
  memoryBytes: z
    .int()
    .min(1)
    .max(2 ** 50)
    .default(128 * 2 ** 30),
  accelerators: z.int().min(0).max(1024).default(0),
});

/** A maintenance wave: every listed instance is drained and rebooted once. */
export const waveSchema = z.strictObject({
  waveId: id,
  poolId: id,
  instanceIds: z.array(id).min(1).readonly(),
});

/** What an instance is doing now, and in which one pool; kept apart from its configured pool. */
export const instanceStateSchema = z.strictObject({
  instanceId: id,
  poolId: id,
  /** The pool it is moving to, while `state` is `moving`. */
  movingTo: id.nullable().default(null),
  state: z.enum(['serving', 'moving', 'draining', 'rebooting', 'lost']),
  /** Rises with every change of the state. */
  epoch: count,
});

export type Team = Readonly<z.infer<typeof teamSchema>>;
export type TeamKey = Readonly<z.infer<typeof keySchema>>;
export type Pool = Readonly<z.infer<typeof poolSchema>>;
export type Queue = Readonly<z.infer<typeof queueSchema>>;
export type Instance = Readonly<z.infer<typeof instanceSchema>>;
export type Wave = Readonly<z.infer<typeof waveSchema>>;
export type InstanceState = Readonly<z.infer<typeof instanceStateSchema>>;
export type Priority = Queue['priority'];

/** Everything that is configured, indexed by id. */
export interface FleetConfiguration {
  readonly revision: number;
  readonly teams: ReadonlyMap<string, Team>;
  readonly keys: ReadonlyMap<string, TeamKey>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly instances: ReadonlyMap<string, Instance>;
  readonly waves: ReadonlyMap<string, Wave>;
  readonly instanceStates: ReadonlyMap<string, InstanceState>;
}

/** The configuration before the first ticket. */
export const EMPTY_CONFIGURATION: FleetConfiguration = {
  revision: 0,
  teams: new Map(),
  keys: new Map(),
  pools: new Map(),
  queues: new Map(),
  instances: new Map(),
  waves: new Map(),
  instanceStates: new Map(),
};
