/** Leases of roles. Each role is held by one entry instance at a time, and its epoch rises with every acquisition. */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { Membership } from '../membership/membership';
import {
  TableOutcomeUnknownError,
  type Condition,
  type Row,
  type TableService,
} from '../platform/table_service';

const roleRowSchema = z.object({
  memberId: z.string(),
  incarnation: z.string(),
  epoch: z.int(),
  acquisitionId: z.string(),
});

/** A role that this entry instance holds. */
export interface HeldRole {
  readonly name: string;
  /** Increases with every acquisition. */
  readonly epoch: number;
  /** Must be part of every transaction that is written under the role; fails once the role is no longer held. */
  readonly condition: Condition;
}

/**
 * Acquires and releases roles. An entry instance can acquire a role only after
 * the one that held it has released it or is no longer live. Later writes by the
 * previous one fail, because its {@link HeldRole.condition} no longer holds.
 *
 * @example
 * ```ts
 * const role = await roles.acquire('maintenance/billing');
 * if (role) await table.transact({ conditions: [role.condition, ...], writes });
 * ```
 */
export class RoleLeases {
  constructor(
    private readonly table: TableService,
    private readonly membership: Membership,
  ) {}

  /**
   * Acquires the role, or returns it if this entry instance holds it already.
   * Returns `null` if another live one holds it or acquires it at the same
   * time, or if this one is not registered. Throws `TableUnavailableError`, or
   * `TableOutcomeUnknownError` if the role may have been acquired; calling
   * again then reads whether it was.
   */
  async acquire(name: string): Promise<HeldRole | null> {
    const self = this.membership.self();
    if (self === null) return null;
    const key = roleKey(name);
    const [row] = await this.table.read({ keys: [key] });
    const current = row ? roleRowSchema.parse(row.value) : null;
    if (row && current?.incarnation === self.incarnation) return heldRoleOf(name, row);
    if (current && this.membership.incarnationState(current.memberId, current.incarnation) === 'live')
      return null;
    const value = {
      memberId: self.memberId,
      incarnation: self.incarnation,
      epoch: (current?.epoch ?? 0) + 1,
      acquisitionId: randomUUID(),
    };
    const result = await this.table.transact({
      conditions: [{ key, version: row?.version ?? null }],
      writes: [{ key, value }],
    });
    const version = result.kind === 'committed' ? result.versions.get(key) : undefined;
    return version === undefined ? null : { name, epoch: value.epoch, condition: { key, version } };
  }

  /**
   * Releases a role. An unknown outcome is ignored, because others can acquire the
   * role once this incarnation is no longer live.
   */
  async release(role: HeldRole): Promise<void> {
    const [row] = await this.table.read({ keys: [role.condition.key] });
    if (row?.version !== role.condition.version) return;
    const value = { ...roleRowSchema.parse(row.value), memberId: '', incarnation: '' };
    try {
      await this.table.transact({ conditions: [role.condition], writes: [{ key: row.key, value }] });
    } catch (error) {
      if (!(error instanceof TableOutcomeUnknownError)) throw error;
    }
  }
}

function roleKey(name: string): string {
  return `role/${name}`;
}

function heldRoleOf(name: string, row: Row): HeldRole {
  const { epoch } = roleRowSchema.parse(row.value);
  return { name, epoch, condition: { key: row.key, version: row.version } };
}
