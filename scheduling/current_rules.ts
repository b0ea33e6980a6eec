/** The fleet rules that are in force in this process. */
import type { FleetRules } from './fleet_rules';

/** Stores the latest version of the rules; an older version never replaces a newer one. */
export class CurrentRules {
  private rules: FleetRules | null = null;
  private listeners: readonly ((rules: FleetRules) => void)[] = [];

  current(): FleetRules | null {
    return this.rules;
  }

  /**
   * Puts the rules in force and notifies the listeners if they are newer than the
   * current ones. Returns whether they are.
   */
  apply(rules: FleetRules): boolean {
    if (this.rules !== null && rules.version <= this.rules.version) return false;
    this.rules = rules;
    for (const listener of this.listeners) listener(rules);
    return true;
  }

  onChange(listener: (rules: FleetRules) => void): void {
    this.listeners = [...this.listeners, listener];
  }
}
