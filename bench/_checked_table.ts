/** Table whose writes of instance states are checked as they take effect. */
import type { InstanceState } from '../model/fleet';
import type { Transaction, TransactionResult } from '../platform/table_service';
import { TableStore } from '../platform/table_store';

const STATE_PREFIX = 'config/instanceStates/';

/** Called for every change of an instance state that has taken effect. */
export type StateCheck = (before: InstanceState, after: InstanceState) => void;

export class CheckedTableStore extends TableStore {
  constructor(private readonly check: StateCheck) {
    super();
  }

  /** Value of a configuration object, `undefined` if it is not there. */
  object(key: string): unknown {
    const [row] = this.read({ keys: [key] });
    return (row?.value as { readonly value: unknown } | undefined)?.value;
  }

  /** All instance states as they are in the table. */
  states(): readonly InstanceState[] {
    return this.read({ prefixes: [STATE_PREFIX] }).flatMap(({ value }) => {
      const state = (value as { readonly value: InstanceState | null }).value;
      return state === null ? [] : [state];
    });
  }

  override transact(transaction: Transaction): TransactionResult {
    const keys = transaction.writes.map(({ key }) => key).filter((key) => key.startsWith(STATE_PREFIX));
    const before = new Map(keys.map((key) => [key, this.object(key)]));
    const result = super.transact(transaction);
    if (result.kind === 'committed') {
      for (const key of keys) {
        const [old, now] = [before.get(key), this.object(key)];
        if (old && now) this.check(old as InstanceState, now as InstanceState);
      }
    }
    return result;
  }
}
