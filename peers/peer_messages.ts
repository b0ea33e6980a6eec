/** Messages between entry instances and their validation. */
import { z } from 'zod';

/** Major version of the protocol; connections to peers of another major version are closed. */
export const PROTOCOL_VERSION = 1;

/** Parameters and result of the first call on a connection, which identify the caller and the other side. */
export const helloSchema = z.object({
  v: z.int(),
  memberId: z.string().min(1).max(63),
  incarnation: z.string().min(1).max(64),
});

/**
 * One exchange message. Field names are single letters because these messages
 * make up nearly all control traffic: with 9 entry instances, each one sends and
 * receives 32 a second in total.
 */
export const exchangeSchema = z.object({
  /** Protocol version. */
  v: z.int(),
  /** Number of this message on the connection, per sender, rising from 1. */
  n: z.int().min(1),
  /** Number of the last message received from the other side, 0 for none. */
  e: z.int().min(0),
  /** Sections by name. */
  s: z.record(z.string(), z.unknown()),
});

export const envelopeSchema = z.looseObject({
  jsonrpc: z.literal('2.0'),
  method: z.string().optional(),
});

export type Hello = Readonly<z.infer<typeof helloSchema>>;
export type ExchangeMessage = Readonly<z.infer<typeof exchangeSchema>>;

/** A peer violated the protocol. Its connection is closed, and `reason` is the counter reason of the closing. */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError';

  constructor(readonly reason: 'malformed' | 'version' | 'no_hello' | 'wrong_member') {
    super(`The peer violated the protocol: ${reason}.`);
  }
}

/** Validates a message against its schema. Throws {@link ProtocolError}. */
export function parseMessage<T extends { readonly v: number }>(schema: z.ZodType<T>, value: unknown): T {
  const parsed = schema.safeParse(value);
  if (parsed.success && parsed.data.v !== PROTOCOL_VERSION) throw new ProtocolError('version');
  // A message of another major version may not match the schema, so its version is checked on its own.
  const version = z.object({ v: z.int() }).safeParse(value);
  if (version.success && version.data.v !== PROTOCOL_VERSION) throw new ProtocolError('version');
  if (!parsed.success) throw new ProtocolError('malformed');
  return parsed.data;
}
