/** Life cycle of a plug-in. */
import type { Kernel } from './kernel';

/** A part of the system that the kernel sets up, starts and stops. */
export abstract class Plugin {
  /** Unique name, as other plug-ins list it in {@link requires}. */
  abstract readonly name: string;

  /** Plug-ins that must be set up before this one. */
  abstract readonly requires: readonly string[];

  /** Provides capabilities and subscribes to events. Does no input or output. */
  abstract setUp(kernel: Kernel): void;

  /** Begins work; resolves once the plug-in is ready. */
  start(): Promise<void> {
    return Promise.resolve();
  }

  /** Finishes or hands over what is in progress. */
  stop(): Promise<void> {
    return Promise.resolve();
  }
}
