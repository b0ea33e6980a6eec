/** Exchange of a deployment with one entry instance. */
import { PeerExchange, type PeerIdentity } from './exchange';

export class NoPeers extends PeerExchange {
  override addSection(): void {
    // Nobody would receive the section.
  }

  override reachable(): readonly PeerIdentity[] {
    return [];
  }

  override call(memberId: string): Promise<unknown> {
    return Promise.reject(new Error(`The peer ${memberId} is not known.`));
  }

  override handle(): void {
    // Nobody calls.
  }
}
