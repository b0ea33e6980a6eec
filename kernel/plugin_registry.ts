/** Registry of plug-ins; the module of a plug-in registers it when the module is imported. */
import type { Plugin } from './plugin';

/** Name of a plug-in and the function that creates it. */
export interface PluginRegistration {
  readonly name: string;
  readonly create: () => Plugin;
}

/** Collects registrations; {@link PluginRegistry.add} throws if a name is registered twice. */
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

/** The registry in which plug-in modules register themselves on import. */
export const pluginRegistry = new PluginRegistry();
