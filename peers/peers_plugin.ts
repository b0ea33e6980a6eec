/** Provides the exchange with other entry instances. */
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { COUNTERS } from '../settings/base_capabilities';
import { PEER_EXCHANGE } from './exchange';
import { PEER_NETWORK, PeerNetwork } from './peer_network';
import { TcpTransport } from './tcp_transport';

/**
 * Provides the network, to which other plug-ins add sections. The membership
 * plug-in starts it and sets its members.
 */
class PeersPlugin extends Plugin {
  override readonly name = 'peers';
  override readonly requires = [];
  private network: PeerNetwork | null = null;

  override setUp(kernel: Kernel): void {
    this.network = new PeerNetwork({
      clock: kernel.clock,
      loop: kernel.loop,
      counters: kernel.use(COUNTERS),
      transport: new TcpTransport(),
      random: Math.random,
    });
    kernel.provide(PEER_NETWORK, this.network);
    kernel.provide(PEER_EXCHANGE, this.network);
  }

  override async stop(): Promise<void> {
    await this.network?.close();
  }
}

pluginRegistry.add({ name: 'peers', create: () => new PeersPlugin() });
