/** The rules in force in this process. */
import type { FleetRules } from './fleet_rules';

/** Keeps the latest version of the rules; an older one never replaces a newer one. */
export class CurrentRules {
  private rules: FleetRules | null = null;
  private listeners: readonly ((rules: FleetRules) => void)[] = [];

  current(): FleetRules | null {
    return this.rules;
  }

  /** Returns whether the rules are newer than those in force. */
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
