/** Loads the configuration and polls the table for changes. */
import type { Timer } from '../kernel/clock';
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { PEER_EXCHANGE } from '../peers/exchange';
import { TABLE_SERVICE } from '../platform/platform_plugin';
import { COUNTERS, LOGGER } from '../settings/base_capabilities';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import { ChangeLog } from './change_log';
import {
  CONFIGURATION,
  CONFIGURATION_CHANGED,
  ConfigurationService,
  MEMBERSHIP_EPOCH_CHANGED,
} from './configuration_service';
import { AcknowledgementBarrier } from './propagation_barrier';
import { FreshnessGuard } from './freshness';
import { coversHead, type Head } from './head';
import { HEAD_EXCHANGE, HeadExchange } from './head_exchange';

/** Interval between reads of the head, in milliseconds; five fit into `FRESHNESS_MS`. */
const HEAD_POLL_MS = 400;

/** Delay between attempts to load the configuration at start, in milliseconds. */
const FIRST_LOAD_RETRY_MS = 500;

class ConfigPlugin extends Plugin {
  override readonly name = 'config';
  override readonly requires = ['platform', 'peers'];
  private kernel: Kernel | null = null;
  private service: ConfigurationService | null = null;
  private timer: Timer | null = null;
  private stopped = false;

  override setUp(kernel: Kernel): void {
    this.kernel = kernel;
    const { clock } = kernel;
    const peers = kernel.use(PEER_EXCHANGE);
    const counters = kernel.use(COUNTERS);
    const guard = new FreshnessGuard(clock, { needsMembership: true });
    const onNewerHead = (): void => {
      void this.catchUp(kernel);
    };
    const exchange = new HeadExchange({ clock, guard, counters, onNewerHead });
    const announce = (): void => {
      peers.exchangeNow();
    };
    this.service = new ConfigurationService({
      clock,
      log: new ChangeLog(kernel.use(TABLE_SERVICE), clock),
      barrier: new AcknowledgementBarrier({ clock, exchange, counters, announce }),
      exchange,
      guard,
      onLoaded: (previous, current) => {
        this.publish(kernel, previous, current);
      },
    });
    peers.addSection(exchange);
    kernel.provide(CONFIGURATION, this.service);
    kernel.provide(HEAD_EXCHANGE, exchange);
  }

  override async start(): Promise<void> {
    const { kernel, service } = this.components();
    while (!(await this.poll(service, kernel))) await kernel.clock.delay(FIRST_LOAD_RETRY_MS);
    this.schedulePoll(kernel, service);
  }

  override stop(): Promise<void> {
    this.stopped = true;
    this.timer?.cancel();
    return Promise.resolve();
  }

  private components(): { readonly kernel: Kernel; readonly service: ConfigurationService } {
    if (this.kernel === null || this.service === null) throw new Error('The plug-in is not set up.');
    return { kernel: this.kernel, service: this.service };
  }

  private schedulePoll(kernel: Kernel, service: ConfigurationService): void {
    if (this.stopped) return;
    this.timer = kernel.clock.schedule(HEAD_POLL_MS, () => {
      void this.poll(service, kernel).then(() => {
        this.schedulePoll(kernel, service);
      });
    });
  }

  /**
   * Loads a head that a peer has reported. Polls twice if the first poll joined a
   * read that began too early to see it.
   */
  private async catchUp(kernel: Kernel): Promise<void> {
    const { service } = this;
    if (service === null || !(await this.poll(service, kernel))) return;
    if (!coversHead(service.head(), service.guard.newestHead())) await this.poll(service, kernel);
  }

  private async poll(service: ConfigurationService, kernel: Kernel): Promise<boolean> {
    try {
      await service.refresh();
      return true;
    } catch (error) {
      kernel.use(COUNTERS).increment('table.read_failed');
      kernel.use(LOGGER).warn(LOG_EVENTS.tableUnavailable, { reason: String(error) });
      return false;
    }
  }

  private publish(kernel: Kernel, previous: Head, current: Head): void {
    if (current.revision !== previous.revision) {
      kernel.use(LOGGER).info(LOG_EVENTS.configurationApplied, { revision: current.revision });
      kernel.events.publish(CONFIGURATION_CHANGED, { head: current });
    }
    if (current.membershipEpoch !== previous.membershipEpoch) {
      kernel.events.publish(MEMBERSHIP_EPOCH_CHANGED, { head: current });
    }
  }
}

pluginRegistry.add({ name: 'config', create: () => new ConfigPlugin() });
