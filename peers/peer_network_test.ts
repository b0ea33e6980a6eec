/** Guards against peers that stay unreachable after a partition, and against messages that violate the protocol. */
import { connect, type Socket } from 'node:net';
import { EventLoop } from '../kernel/event_loop';
import { SystemClock } from '../kernel/system_clock';
import { settlePromises, VirtualClock } from '../kernel/virtual_clock';
import { MemoryCounters } from '../telemetry/counters';
import { ExchangeSection, type PeerIdentity } from './exchange';
import { LineDecoder, LineTooLongError, MAX_LINE_BYTES } from './line_decoder';
import { MemoryNetwork } from './memory_transport';
import { PeerNetwork, type PeerEntry } from './peer_network';
import { TcpTransport } from './tcp_transport';

class RecordingSection extends ExchangeSection {
  override readonly name = 'note';
  readonly received: { readonly from: string; readonly payload: unknown; readonly composedMs: number }[] = [];
  readonly forgotten: string[] = [];
  constructor(private readonly payload: unknown) {
    super();
  }
  override compose(): unknown {
    return this.payload;
  }
  override receive(peer: PeerIdentity, payload: unknown, composedAfterMs: number): void {
    this.received.push({ from: peer.memberId, payload, composedMs: composedAfterMs });
  }
  override forget(peer: PeerIdentity): void {
    this.forgotten.push(peer.memberId);
  }
}

interface TestPeer {
  readonly network: PeerNetwork;
  readonly section: RecordingSection;
  readonly counters: MemoryCounters;
  readonly entry: PeerEntry;
}

async function connectPair(
  memoryNetwork: MemoryNetwork,
  clock: VirtualClock,
): Promise<readonly [TestPeer, TestPeer]> {
  const create = async (memberId: string): Promise<TestPeer> => {
    const counters = new MemoryCounters();
    const loop = new EventLoop((error) => {
      throw error;
    });
    const transport = memoryNetwork.transport(memberId, (task) => {
      task();
    });
    const network = new PeerNetwork({ clock, loop, counters, transport, random: () => 0.5 });
    const section = new RecordingSection(`from ${memberId}`);
    network.addSection(section);
    network.handle('double', (_, params) => Promise.resolve((params as { value: number }).value * 2));
    const port = await network.listen({ host: memberId, port: 0 });
    return {
      network,
      section,
      counters,
      entry: { memberId, incarnation: 'i1', address: { host: memberId, port } },
    };
  };
  const a = await create('a');
  const b = await create('b');
  a.network.setMembers(a.entry, [b.entry]);
  b.network.setMembers(b.entry, [a.entry]);
  return [a, b];
}

describe('LineDecoder', () => {
  test('joins chunks and rejects a line that is too long before it is complete', () => {
    const decoder = new LineDecoder(8);
    expect(decoder.push(Buffer.from('ab'))).toEqual([]);
    expect(decoder.push(Buffer.from('c\nd\n12345678'))).toEqual(['abc', 'd']);
    expect(() => decoder.push(Buffer.from('9'))).toThrow(LineTooLongError);
  });
});

describe('PeerNetwork', () => {
  test('one connection carries sections and calls both ways, and yields the earliest time at which a section was composed', async () => {
    const clock = new VirtualClock();
    const [a, b] = await connectPair(new MemoryNetwork(clock), clock);
    await clock.advanceAsync(2_000);
    expect(a.network.reachable()).toEqual([{ memberId: 'b', incarnation: 'i1' }]);
    expect(b.section.received.at(-1)).toMatchObject({ from: 'a', payload: 'from a' });
    // The responding side knows only that the request was composed after its last response, one interval ago.
    expect(b.section.received.at(-1)?.composedMs).toBeGreaterThanOrEqual(500);
    expect(b.section.received[0]?.composedMs).toBe(Number.NEGATIVE_INFINITY);
    const result = b.network.call('a', 'double', { value: 21 });
    await clock.advanceAsync(100);
    expect(await result).toBe(42);
  });

  test('peers are unreachable to each other during a partition and reconnect after it', async () => {
    const clock = new VirtualClock();
    const memoryNetwork = new MemoryNetwork(clock);
    const [a, b] = await connectPair(memoryNetwork, clock);
    await clock.advanceAsync(1_000);
    memoryNetwork.setPartitioned('a', 'b', true);
    await clock.advanceAsync(4_000);
    expect([a.network.reachable(), b.network.reachable()]).toEqual([[], []]);
    expect(a.section.forgotten).toContain('b');
    expect(a.counters.snapshot().get('peers.closed:exchange_failed')).toBe(1);
    memoryNetwork.setPartitioned('a', 'b', false);
    await clock.advanceAsync(3_000);
    expect(b.network.reachable()).toHaveLength(1);
  });

  test('a peer that changes its incarnation is reconnected under the new one', async () => {
    const clock = new VirtualClock();
    const [a, b] = await connectPair(new MemoryNetwork(clock), clock);
    await clock.advanceAsync(1_000);
    const newIncarnation = { ...b.entry, incarnation: 'i2' };
    b.network.setMembers(newIncarnation, [a.entry]);
    a.network.setMembers(a.entry, [newIncarnation]);
    await clock.advanceAsync(1_000);
    expect(a.network.reachable()).toEqual([{ memberId: 'b', incarnation: 'i2' }]);
    expect(a.section.forgotten).toEqual(['b']);
  });
});

describe('PeerNetwork over TCP', () => {
  const hello = (v: number): string =>
    JSON.stringify({
      jsonrpc: '2.0',
      id: 1,
      method: 'peer.hello',
      params: { v, memberId: 'x', incarnation: 'i' },
    });
  const exchange = (params: object): string =>
    JSON.stringify({ jsonrpc: '2.0', id: 2, method: 'peer.exchange', params });

  test.each([
    ['malformed', 'not json\n'],
    ['malformed', '[1]\n'],
    ['malformed', `${hello(1)}\n${exchange({ v: 1, n: 'one' })}\n`],
    ['version', `${hello(2)}\n`],
    ['version', `${hello(1)}\n${exchange({ v: 2, later: true })}\n`],
    ['no_hello', `${exchange({ v: 1, n: 1, e: 0, s: {} })}\n`],
    ['line_too_long', 'x'.repeat(MAX_LINE_BYTES + 1)],
  ])('closes the connection with reason %s', async (reason, text) => {
    const { network, counters, port } = await startNetwork();
    const socket = connect(port, '127.0.0.1');
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.on('error', () => undefined);
    socket.write(text);
    await closed;
    await settlePromises();
    expect(counters.snapshot().get(`peers.closed:${reason}`)).toBe(1);
    await network.close();
  });

  test('ignores unknown fields', async () => {
    const { network, port } = await startNetwork();
    const socket = connect(port, '127.0.0.1');
    socket.write(`${hello(1)}\n${exchange({ v: 1, n: 1, e: 0, s: { future: 1 }, more: 2 })}\n`);
    const response = await readLine(socket, 2);
    expect(JSON.parse(response)).toMatchObject({ id: 2, result: { v: 1, n: 1, e: 1 } });
    socket.destroy();
    await network.close();
  });

  async function startNetwork(): Promise<{
    readonly network: PeerNetwork;
    readonly counters: MemoryCounters;
    readonly port: number;
  }> {
    const counters = new MemoryCounters();
    const loop = new EventLoop(() => undefined);
    const transport = new TcpTransport();
    const network = new PeerNetwork({ clock: new SystemClock(), loop, counters, transport, random: () => 0 });
    const port = await network.listen({ host: '127.0.0.1', port: 0 });
    network.setMembers({ memberId: 'a', incarnation: 'i' }, []);
    return { network, counters, port };
  }

  function readLine(socket: Socket, lineNumber: number): Promise<string> {
    const decoder = new LineDecoder();
    const lines: string[] = [];
    return new Promise((resolve) => {
      socket.on('data', (chunk: Buffer) => {
        lines.push(...decoder.push(chunk));
        const line = lines[lineNumber - 1];
        if (line !== undefined) resolve(line);
      });
    });
  }
});
