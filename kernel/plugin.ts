/** Life cycle of a plug-in. */
import type { Kernel } from './kernel';

/** A part of the system that the kernel sets up, starts and stops. */
export abstract class Plugin {
  /** Unique name, by which other plug-ins refer to this one in {@link requires}. */
  abstract readonly name: string;

  /** Plug-ins that must be set up before this one. */
  abstract readonly requires: readonly string[];

  /** Provides capabilities and subscribes to events. Performs no input or output. */
  abstract setUp(kernel: Kernel): void;

  /** Starts the plug-in's work; resolves once it is ready. */
  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Finishes or hands over the work in progress. */
  stop(): Promise<void> {
    return Promise.resolve();
  }
}
