/** Follows the operator's rows: the fleet rules, the maintenance waves and the closed zones. */
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { UnusableRowError } from '../scheduling/platform_row_codec';
import { CurrentClosedZones } from '../scheduling/closed_zones';
import { CurrentRules } from '../scheduling/current_rules';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import type { RowChange } from '../store/row_store';
import { TableFollower } from '../store/table_follower';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { logFollowerFailures } from '../telemetry/follower_failures';
import {
  CURRENT_CLOSED_ZONES,
  CURRENT_RULES,
  NODE_SETTINGS,
  OPERATOR_STATE,
  PLATFORM_ROW_CODEC,
  ROW_STORE,
} from './capabilities';

/**
 * Time for which one feed call waits for changes, in milliseconds. Rules have to
 * be in force 2 s after the store has acknowledged them, even if the connection
 * has failed without an error.
 */
const FEED_WAIT_MS = 1_000;

/**
 * Time since the beginning of the latest successful call from which it is unknown which
 * zones are closed, in milliseconds. No task may start in a zone 5 s after it was closed;
 * the rest is for sending and for pauses of the process.
 */
const MAX_CLOSED_ZONES_AGE_MS = 3_000;

class OperatorPlugin extends Plugin {
  override readonly name = 'operator';
  override readonly requires = ['wire'];
  private readonly rules = new CurrentRules();
  private readonly waves = new Map<number, MaintenanceWave>();
  private isReachable = false;
  private kernel: Kernel | null = null;
  private follower: TableFollower | null = null;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const closedZones = new CurrentClosedZones({
      clock: kernel.clock,
      maxAgeMs: kernel.use(NODE_SETTINGS).canCloseZones ? MAX_CLOSED_ZONES_AGE_MS : Infinity,
    });
    kernel.provide(CURRENT_CLOSED_ZONES, closedZones);
    kernel.provide(CURRENT_RULES, this.rules);
    kernel.provide(OPERATOR_STATE, {
      rules: () => this.rules.current(),
      waves: () => this.waves,
      closedZones: () => closedZones.current(),
      isStoreReachable: () => this.isReachable,
    });
  }

  override start(): Promise<void> {
    const kernel = this.requireKernel();
    const { operatorTable, partition } = kernel.use(PLATFORM_ROW_CODEC);
    const follower = new TableFollower({
      store: kernel.use(ROW_STORE),
      clock: kernel.clock,
      table: operatorTable,
      partitions: [partition],
      waitMs: FEED_WAIT_MS,
      onChanges: (changes, isComplete) => {
        // Before the rules: no start is planned with the rules alone.
        this.applyClosedZones(kernel, changes, isComplete);
        for (const change of changes) this.handleChange(kernel, change);
      },
      onFailure: logFollowerFailures({ logger: kernel.use(LOGGER), counters: kernel.use(COUNTERS) }),
      onContact: (isReachable, beganAtMs) => {
        // After compacted history the table has to be read again before it is known.
        if (isReachable && follower.isLoaded()) kernel.use(CURRENT_CLOSED_ZONES).recordContact(beganAtMs);
        this.recordContact(kernel, isReachable);
      },
    });
    this.follower = follower;
    void follower.run();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.follower?.stop();
    return Promise.resolve();
  }

  private requireKernel(): Kernel {
    if (this.kernel === null) throw new Error('The plug-in is not set up.');
    return this.kernel;
  }

  private applyClosedZones(kernel: Kernel, changes: readonly RowChange[], isComplete: boolean): void {
    const codec = kernel.use(PLATFORM_ROW_CODEC);
    const rows = changes.flatMap(({ key, version: rowVersion, value }) => {
      const zone = codec.closedZone(key);
      return zone === null ? [] : [{ zone, rowVersion, isClosed: value !== null }];
    });
    const { closed, opened } = kernel.use(CURRENT_CLOSED_ZONES).apply(rows, isComplete);
    for (const { zone, rowVersion } of closed) {
      kernel.use(COUNTERS).increment('zones.closed');
      kernel.use(LOGGER).info(LOG_EVENTS.zoneClosed, { zone, rowVersion, isComplete });
    }
    for (const { zone, rowVersion } of opened)
      kernel.use(LOGGER).info(LOG_EVENTS.zoneOpened, { zone, closedByRowVersion: rowVersion, isComplete });
  }

  private handleChange(kernel: Kernel, { key, value, version }: RowChange): void {
    if (value === null) return;
    const logger = kernel.use(LOGGER);
    try {
      const row = kernel.use(PLATFORM_ROW_CODEC).decodeOperatorRow(key, value);
      if (row.kind === 'wave') this.waves.set(row.wave.waveNumber, row.wave);
      if (row.kind !== 'rules' || !this.rules.apply(row.rules)) return;
      const [reason] = row.unusableEntries;
      if (reason !== undefined) {
        const count = row.unusableEntries.length;
        kernel.use(COUNTERS).increment('operator.entry_unusable', undefined, count);
        logger.warn(LOG_EVENTS.operatorEntriesUnusable, { key, count, reason });
      }
      logger.info(LOG_EVENTS.rulesApplied, { rulesVersion: row.rules.version, rowVersion: version });
    } catch (error) {
      if (!(error instanceof UnusableRowError)) throw error;
      logger.warn(LOG_EVENTS.operatorRowUnusable, { key, reason: error.message });
    }
  }

  private recordContact(kernel: Kernel, isReachable: boolean): void {
    if (isReachable === this.isReachable) return;
    this.isReachable = isReachable;
    kernel.use(LOGGER).info(isReachable ? LOG_EVENTS.storeReachable : LOG_EVENTS.storeUnreachable);
  }
}

pluginRegistry.add({ name: 'operator', create: () => new OperatorPlugin() });
