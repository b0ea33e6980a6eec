/** Owns the event loop, the clock, the event bus and the capabilities, and runs the life cycle of plug-ins. */
import type { Capability } from './capability';
import type { Clock } from './clock';
import { EventLoop, type TurnErrorHandler } from './event_loop';
import { EventBus } from './events';
import type { Plugin } from './plugin';
import type { PluginRegistration } from './plugin_registry';

export interface KernelOptions {
  readonly clock: Clock;
  readonly onTurnError: TurnErrorHandler;
}

/**
 * Sets up and starts each plug-in after those that it requires, and stops them
 * in reverse order.
 *
 * @example
 * ```ts
 * const kernel = new Kernel({ clock: new SystemClock(), onTurnError: console.error });
 * kernel.load(pluginRegistry.all());
 * await kernel.start();
 * ```
 */
export class Kernel {
  readonly clock: Clock;
  readonly loop: EventLoop;
  readonly events: EventBus;
  private readonly services = new Map<string, unknown>();
  private plugins: readonly Plugin[] = [];
  /** Plug-ins whose start has begun, the most recent first; they are stopped in this order. */
  private started: readonly Plugin[] = [];

  constructor(options: KernelOptions) {
    this.clock = options.clock;
    this.loop = new EventLoop(options.onTurnError);
    this.events = new EventBus(this.loop);
  }

  /** Registers the service of a capability; throws if the capability already has one. */
  provide<T>(capability: Capability<T>, service: T): void {
    if (this.services.has(capability.name)) {
      throw new Error(`The capability "${capability.name}" is provided twice.`);
    }
    this.services.set(capability.name, service);
  }

  /** Returns the service of a capability; throws if no plug-in provides it. */
  use<T>(capability: Capability<T>): T {
    if (!this.services.has(capability.name)) {
      throw new Error(`No plug-in provides the capability "${capability.name}".`);
    }
    return this.services.get(capability.name) as T;
  }

  /** Creates the plug-ins and sets them up, each after those that it requires. */
  load(registrations: readonly PluginRegistration[]): void {
    this.plugins = orderByRequirements(registrations.map((registration) => registration.create()));
    for (const plugin of this.plugins) plugin.setUp(this);
  }

  /** Starts the plug-ins one after the other, each after those that it requires. */
  async start(): Promise<void> {
    for (const plugin of this.plugins) {
      this.started = [plugin, ...this.started];
      await plugin.start();
    }
  }

  /** Stops the started plug-ins in reverse order. All of them are stopped, even if some fail to. */
  async stop(): Promise<void> {
    const failures: unknown[] = [];
    for (const plugin of this.started) {
      try {
        await plugin.stop();
      } catch (error) {
        failures.push(error);
      }
    }
    this.started = [];
    if (failures.length > 0) throw new AggregateError(failures, 'Some plug-ins failed to stop.');
  }
}

/** Sorts plug-ins so that each comes after those it requires; throws on a missing or circular requirement. */
export function orderByRequirements(plugins: readonly Plugin[]): readonly Plugin[] {
  const byName = new Map(plugins.map((plugin) => [plugin.name, plugin]));
  const ordered: Plugin[] = [];
  const visiting = new Set<string>();
  const visit = (plugin: Plugin): void => {
    if (ordered.includes(plugin)) return;
    if (visiting.has(plugin.name))
      throw new Error(`The plug-in "${plugin.name}" requires itself, directly or through other plug-ins.`);
    visiting.add(plugin.name);
    for (const name of plugin.requires) {
      const required = byName.get(name);
      if (!required)
        throw new Error(`The plug-in "${plugin.name}" requires "${name}", which is not registered.`);
      visit(required);
    }
    visiting.delete(plugin.name);
    ordered.push(plugin);
  };
  plugins.forEach(visit);
  return ordered;
}
