/** Finds the team key that belongs to a presented key. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { TeamKey } from '../model/fleet';

/** Blinds the lookup: without it, the duration of a map lookup could reveal stored hashes. */
const BLINDING_KEY = randomBytes(32);

/** SHA-256 of a key in lower-case hexadecimal, as stored in the configuration. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}

/**
 * Index of the configured keys by blinded hash, so that the cost of a
 * lookup does not grow with the number of keys.
 *
 * @example
 * ```ts
 * const index = new KeyIndex([...fleet.keys.values()]);
 * const teamKey = index.find(presentedKey);
 * ```
 */
export class KeyIndex {
  private readonly byBlindedHash: ReadonlyMap<string, TeamKey>;

  constructor(keys: readonly TeamKey[]) {
    this.byBlindedHash = new Map(keys.map((key) => [blind(key.keyHashHex), key]));
  }

  /** Returns the configured key, `undefined` if the presented key is unknown. */
  find(presentedKey: string): TeamKey | undefined {
    const hashHex = hashKey(presentedKey);
    const found = this.byBlindedHash.get(blind(hashHex));
    if (found === undefined) return undefined;
    const matches = timingSafeEqual(Buffer.from(found.keyHashHex, 'hex'), Buffer.from(hashHex, 'hex'));
    return matches ? found : undefined;
  }
}

function blind(hashHex: string): string {
  return createHmac('sha256', BLINDING_KEY).update(hashHex, 'hex').digest('base64');
}

/** One index per map of keys; the maps are immutable, so an index stays valid as long as its map. */
const indexes = new WeakMap<ReadonlyMap<string, TeamKey>, KeyIndex>();

/** Returns the index of the keys of a configuration. */
export function keyIndexOf(keys: ReadonlyMap<string, TeamKey>): KeyIndex {
  const known = indexes.get(keys);
  if (known) return known;
  const index = new KeyIndex([...keys.values()]);
  indexes.set(keys, index);
  return index;
}
