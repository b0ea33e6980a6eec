/** Configuration objects that change tickets create, replace and remove, and the states of instances. */
import { z } from 'zod';

const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_" and "-"');
const countSchema = z.int().min(0).max(1_000_000);

/**
 * A customer of the fleet. While demand exceeds the capacity, teams receive
 * capacity in proportion to `shareWeight`; `upperLimit` limits the running work
 * of the team.
 */
export const teamSchema = z.strictObject({
  teamId: idSchema,
  shareWeight: z.number().positive().max(1_000_000),
  upperLimit: countSchema,
});

/** An API key of a team, of which only the SHA-256 hash is stored. */
export const keySchema = z.strictObject({
  keyId: idSchema,
  teamId: idSchema,
  keyHashHex: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in lower-case hexadecimal'),
});

/**
 * A pool of instances. `maxUnavailable` is the number of its instances that may
 * be unavailable at once, whether planned or unplanned.
 */
export const poolSchema = z.strictObject({
  poolId: idSchema,
  maxUnavailable: countSchema,
  spare: z.boolean().default(false),
});

/** A queue, to which callers send requests. */
export const queueSchema = z.strictObject({
  queueId: idSchema,
  poolId: idSchema,
  /** Whether requests without a key are accepted; they belong to no team. */
  openToAll: z.boolean().default(false),
  /** Teams that may use the queue; empty means every team. */
  teamIds: z.array(idSchema).readonly().default([]),
  /** Whether every request of the queue can be retried safely, whatever its method. */
  idempotent: z.boolean().default(false),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  deadlineMs: z.int().min(1).max(60_000).default(30_000),
});

/** An instance that serves a pool. */
export const instanceSchema = z.strictObject({
  instanceId: idSchema,
  poolId: idSchema,
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  availabilityZone: idSchema,
  rack: idSchema,
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
  waveId: idSchema,
  poolId: idSchema,
  instanceIds: z.array(idSchema).min(1).readonly(),
});

/** The current state and pool of an instance; the pool may differ from the one configured for it. */
export const instanceStateSchema = z.strictObject({
  instanceId: idSchema,
  poolId: idSchema,
  /** The pool to which the instance is moving, while `state` is `moving`. */
  movingTo: idSchema.nullable().default(null),
  state: z.enum(['serving', 'moving', 'draining', 'rebooting', 'lost']),
  /** Increases with every change of the state. */
  epoch: countSchema,
});

export type Team = Readonly<z.infer<typeof teamSchema>>;
export type TeamKey = Readonly<z.infer<typeof keySchema>>;
export type Pool = Readonly<z.infer<typeof poolSchema>>;
export type Queue = Readonly<z.infer<typeof queueSchema>>;
export type Instance = Readonly<z.infer<typeof instanceSchema>>;
export type Wave = Readonly<z.infer<typeof waveSchema>>;
export type InstanceState = Readonly<z.infer<typeof instanceStateSchema>>;
export type Priority = Queue['priority'];

/** All configuration objects by id. */
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
