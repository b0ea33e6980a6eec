/** Test double of a process's operator plug-in: it follows the operator's rows through a store client of its own. */
import { CURRENT_CLOSED_ZONES, NODE_SETTINGS, PLATFORM_ROW_CODEC, ROW_STORE } from '../daemon/capabilities';
import type { NodeSettings } from '../daemon/node_settings';
import '../daemon/operator_plugin';
import { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import type { ClosedZones } from '../scheduling/closed_zones';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { MemoryRowStore } from '../store/memory_row_store';
import { Logger } from '../telemetry/logger';
import { JsonRowCodec, type HarnessProcess, type PlacementHarness } from './_placement_harness';

/** Stands for the plug-in that provides the platform's adapters. */
class WireStandin extends Plugin {
  override readonly name = 'wire';
  override readonly requires = [];

  override setUp(): void {
    // The capabilities are provided by the test.
  }
}

export class OperatorFollower {
  readonly store: MemoryRowStore;
  private readonly kernel: Kernel;

  constructor(harness: PlacementHarness, process: HarnessProcess) {
    this.store = new MemoryRowStore(harness.rows, harness.clock);
    this.kernel = new Kernel({
      clock: harness.clock,
      onTurnError: (error) => {
        throw error;
      },
    });
    this.kernel.provide(ROW_STORE, this.store);
    this.kernel.provide(PLATFORM_ROW_CODEC, new JsonRowCodec());
    this.kernel.provide(NODE_SETTINGS, { canCloseZones: true } as NodeSettings);
    this.kernel.provide(COUNTERS, process.counters);
    this.kernel.provide(LOGGER, Logger.create({ level: 'silent' }));
    const operator = pluginRegistry.all().filter(({ name }) => name === 'operator');
    this.kernel.load([{ name: 'wire', create: () => new WireStandin() }, ...operator]);
    process.closedZones = () => this.closedZones();
    this.kernel.use(CURRENT_CLOSED_ZONES).onChange(() => process.leader?.onRulesChanged());
  }

  async start(): Promise<this> {
    await this.kernel.start();
    return this;
  }

  closedZones(): ClosedZones {
    return this.kernel.use(CURRENT_CLOSED_ZONES).current();
  }

  /** Names of the closed zones; `null` if they are not known. */
  closedNames(): readonly string[] | null {
    const { isKnown, closures } = this.closedZones();
    return isKnown ? [...closures.keys()] : null;
  }
}
