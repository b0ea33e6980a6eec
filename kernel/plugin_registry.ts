/** List of plug-ins that have registered themselves on import. */
import type { Plugin } from './plugin';

/** How the kernel obtains a plug-in. */
export interface PluginRegistration {
  readonly name: string;
  readonly create: () => Plugin;
}

/** Collects registrations; one name may be registered once. */
export class PluginRegistry {
  private readonly registrations = new Map<string, PluginRegistration>();

  add(registration: PluginRegistration): void {
    if (this.registrations.has(registration.name)) {
      throw new Error(`The plug-in "${registration.name}" is registered twice.`);
    }
    this.registrations.set(registration.name, registration);
  }

  all(): readonly PluginRegistration[] {
    return [...this.registrations.values()];
  }
}

/** The registry that plug-in modules use when they are imported. */
export const pluginRegistry = new PluginRegistry();
