/** Provides the exchange with other entry instances. */
import type { Kernel } from '../kernel/kernel';
import { Plugin } from '../kernel/plugin';
import { pluginRegistry } from '../kernel/plugin_registry';
import { PEER_EXCHANGE } from './exchange';
import { NoPeers } from './no_peers';

class PeersPlugin extends Plugin {
  override readonly name = 'peers';
  override readonly requires = ['membership'];

  override setUp(kernel: Kernel): void {
    kernel.provide(PEER_EXCHANGE, new NoPeers());
  }
}

pluginRegistry.add({ name: 'peers', create: () => new PeersPlugin() });
