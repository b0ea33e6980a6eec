import { VirtualClock } from '../kernel/virtual_clock';
import { InstanceList, PlatformUnavailableError, type InstanceListing } from '../platform/instance_list';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { InstanceListPoller } from './instance_list_poller';
import { DrainingTargetTracker } from './draining_target_tracker';
import { DrainingSection } from './draining_section';

const peer = { memberId: 'p', incarnation: 'p-1' };

class ScriptedList extends InstanceList {
  listing: InstanceListing | null = null;
  override list(): Promise<InstanceListing> {
    if (this.listing === null) return Promise.reject(new PlatformUnavailableError('down'));
    return Promise.resolve(this.listing);
  }
}

function createParts() {
  const clock = new VirtualClock();
  const counters = new MemoryCounters();
  const tracker = new DrainingTargetTracker();
  return { clock, counters, tracker, section: new DrainingSection({ clock, tracker, counters }) };
}

describe('InstanceListPoller', () => {
  test('marks a target as draining within a second of its listing, also while the list is unavailable later', async () => {
    const { clock, counters, tracker } = createParts();
    const list = new ScriptedList();
    const logger = Logger.create({ level: 'silent' });
    const poller = new InstanceListPoller({ clock, list, drainingTracker: tracker, counters, logger });
    await poller.start();
    expect(counters.snapshot().get('instance_list.read_failed')).toBe(1);
    expect(tracker.isDraining('w0', 0)).toBe(false);
    list.listing = { lagMs: 0, instances: [{ instanceId: 'w0', bootId: 'b1', state: 'leaving' }] };
    await clock.advanceAsync(1_000, 100);
    expect(tracker.isDraining('w0', clock.monotonicMs())).toBe(true);
    list.listing = null;
    await clock.advanceAsync(5_000, 100);
    expect(tracker.isDraining('w0', clock.monotonicMs())).toBe(true);
    poller.stop();
  });
});

describe('DrainingSection', () => {
  test('reports a refused connection with the next exchange, so that the target is draining at the peer', () => {
    const sender = createParts();
    const receiver = createParts();
    expect(sender.section.compose(peer)).toBeUndefined();
    sender.tracker.recordRefusedConnection('w0', 0);
    receiver.section.receive(peer, JSON.parse(JSON.stringify(sender.section.compose(peer))));
    expect(receiver.tracker.isDraining('w0', 0)).toBe(true);
  });

  test('sends a new report at once, not at the next repetition', () => {
    const { clock, tracker, section } = createParts();
    tracker.recordRefusedConnection('w0', 0);
    section.compose(peer);
    clock.advance(3_000);
    tracker.recordRefusedConnection('w1', 3_000);
    expect(section.compose(peer)).toHaveLength(2);
  });

  test('repeats old reports at intervals, but before peers drop them', () => {
    const { clock, tracker, section } = createParts();
    tracker.recordRefusedConnection('w0', 0);
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
    const { counters, tracker, section } = createParts();
    section.receive(peer, [{ instanceId: 7 }]);
    expect(counters.snapshot().get('peers.section_rejected:leaving')).toBe(1);
    expect(tracker.isDraining('w0', 0)).toBe(false);
  });
});
