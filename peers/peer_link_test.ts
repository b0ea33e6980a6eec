/** Guards against a closed connection that becomes the peer's connection again. */
import { EventLoop } from '../kernel/event_loop';
import { settlePromises, VirtualClock } from '../kernel/virtual_clock';
import { MemoryCounters } from '../telemetry/counters';
import { PeerLink } from './peer_link';
import { PROTOCOL_VERSION } from './peer_messages';
import { PeerChannel } from './peer_transport';

class RecordingChannel extends PeerChannel {
  readonly sent: string[] = [];
  private onLine: (line: string) => void = () => undefined;

  override send(line: string): void {
    this.sent.push(line);
  }

  override listen(onLine: (line: string) => void): void {
    this.onLine = onLine;
  }

  override close(): void {
    // Lines in transit still arrive.
  }

  receive(line: string): void {
    this.onLine(line);
  }
}

test('a response that arrives while the connection closes does not identify the peer', async () => {
  const channel = new RecordingChannel();
  const identified: PeerLink[] = [];
  const link = new PeerLink({
    channel,
    clock: new VirtualClock(),
    loop: new EventLoop((error) => {
      throw error;
    }),
    counters: new MemoryCounters(),
    self: { memberId: 'a', incarnation: 'a-1' },
    sections: [],
    methods: new Map(),
    expectedMemberId: 'b',
    onIdentified: (identifiedLink) => identified.push(identifiedLink),
    onExchange: () => undefined,
    onClosed: () => undefined,
  });
  void link.sendHello();
  const { id } = JSON.parse(channel.sent[0] ?? '{}') as { readonly id: unknown };
  const result = { v: PROTOCOL_VERSION, memberId: 'b', incarnation: 'b-1' };
  channel.receive(JSON.stringify({ jsonrpc: '2.0', id, result }));
  // The turn that handles the line runs before the close, and the continuation of the request after it.
  queueMicrotask(() => {
    link.close('replaced');
  });
  await settlePromises();
  expect(identified).toEqual([]);
});
