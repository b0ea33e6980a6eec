/** Table store that calls a check for every committed change of an instance state. */
import type { InstanceState } from '../model/fleet';
import type { Transaction, TransactionResult } from '../platform/table_service';
import { TableStore } from '../platform/table_store';

const INSTANCE_STATE_PREFIX = 'config/instanceStates/';

/** Called after the commit with the state before and after; not called for states that are added or removed. */
export type StateChangeCheck = (before: InstanceState, after: InstanceState) => void;

export class CheckedTableStore extends TableStore {
  constructor(private readonly check: StateChangeCheck) {
    super();
  }

  /** The value of a configuration object, `undefined` if there is no such row. */
  readObject(key: string): unknown {
    const [row] = this.read({ keys: [key] });
    return (row?.value as { readonly value: unknown } | undefined)?.value;
  }

  /** All instance states in the table. */
  states(): readonly InstanceState[] {
    return this.read({ prefixes: [INSTANCE_STATE_PREFIX] }).flatMap(({ value }) => {
      const state = (value as { readonly value: InstanceState | null }).value;
      return state === null ? [] : [state];
    });
  }

  override transact(transaction: Transaction): TransactionResult {
    const keys = transaction.writes
      .map(({ key }) => key)
      .filter((key) => key.startsWith(INSTANCE_STATE_PREFIX));
    const valuesBefore = new Map(keys.map((key) => [key, this.readObject(key)]));
    const result = super.transact(transaction);
    if (result.kind === 'committed') {
      for (const key of keys) {
        const [previous, current] = [valuesBefore.get(key), this.readObject(key)];
        if (previous && current) this.check(previous as InstanceState, current as InstanceState);
      }
    }
    return result;
  }
}
