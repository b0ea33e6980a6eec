import { VirtualClock } from '../kernel/virtual_clock';
import { InstanceList, PlatformUnavailableError, type InstanceListing } from '../platform/instance_list';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { InstanceListPoller } from './instance_list_poller';
import { DrainingTargetTracker } from './draining_target_tracker';
import { LeavingSection } from './leaving_section';

const peer = { memberId: 'p', incarnation: 'p-1' };

class ScriptedList extends InstanceList {
  listing: InstanceListing | null = null;
  override list(): Promise<InstanceListing> {
    if (this.listing === null) return Promise.reject(new PlatformUnavailableError('down'));
    return Promise.resolve(this.listing);
  }
}

function parts() {
  const clock = new VirtualClock();
  const counters = new MemoryCounters();
  const marks = new DrainingTargetTracker();
  return { clock, counters, marks, section: new LeavingSection({ clock, marks, counters }) };
}

describe('InstanceListPoller', () => {
  test('marks a leaving target within a second of its listing, and goes on without a list', async () => {
    const { clock, counters, marks } = parts();
    const list = new ScriptedList();
    const logger = Logger.create({ level: 'silent' });
    const poller = new InstanceListPoller({ clock, list, marks, counters, logger });
    await poller.start();
    expect(counters.snapshot().get('instance_list.read_failed')).toBe(1);
    expect(marks.isDraining('w0', 0)).toBe(false);
    list.listing = { lagMs: 0, instances: [{ instanceId: 'w0', bootId: 'b1', state: 'leaving' }] };
    await clock.advanceAsync(1_000, 100);
    expect(marks.isDraining('w0', clock.monotonicMs())).toBe(true);
    list.listing = null;
    await clock.advanceAsync(5_000, 100);
    expect(marks.isDraining('w0', clock.monotonicMs())).toBe(true);
    poller.stop();
  });
});

describe('LeavingSection', () => {
  test('tells a peer of a refused connection with the next exchange, and the peer believes it', () => {
    const teller = parts();
    const hearer = parts();
    expect(teller.section.compose(peer)).toBeUndefined();
    teller.marks.recordRefusedConnection('w0', 0);
    hearer.section.receive(peer, JSON.parse(JSON.stringify(teller.section.compose(peer))));
    expect(hearer.marks.isDraining('w0', 0)).toBe(true);
  });

  test('does not hold a new mark back until the next repetition', () => {
    const { clock, marks, section } = parts();
    marks.recordRefusedConnection('w0', 0);
    section.compose(peer);
    clock.advance(3_000);
    marks.recordRefusedConnection('w1', 3_000);
    expect(section.compose(peer)).toHaveLength(2);
  });

  test('repeats old marks rarely, but before peers drop them', () => {
    const { clock, marks, section } = parts();
    marks.recordRefusedConnection('w0', 0);
    const sent: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 500) {
      if (section.compose(peer) !== undefined) sent.push(nowMs);
      clock.advance(500);
    }
    expect(sent.at(-1)).toBeGreaterThan(45_000);
    const gaps = sent.slice(1).map((atMs, index) => atMs - (sent[index] ?? 0));
    expect(Math.max(...gaps)).toBeLessThan(30_000);
    expect(sent.length).toBeLessThan(15);
  });

  test('rejects and counts malformed reports', () => {
    const { counters, marks, section } = parts();
    section.receive(peer, [{ instanceId: 7 }]);
    expect(counters.snapshot().get('peers.section_rejected:leaving')).toBe(1);
    expect(marks.isDraining('w0', 0)).toBe(false);
  });
});
