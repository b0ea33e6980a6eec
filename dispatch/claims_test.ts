import fc from 'fast-check';
import { VirtualClock, settlePromises } from '../kernel/virtual_clock';
import { Membership, type Member, type IncarnationState } from '../membership/membership';
import { RequestError } from '../model/request_error';
import { MemoryTableService, NO_TABLE_FAULTS } from '../platform/memory_table_service';
import { PlatformUnavailableError } from '../platform/instance_list';
import { ObjectStore } from '../platform/object_store';
import { TableStore } from '../platform/table_store';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { CLAIM_LIFETIME_MS, claimKey } from './claim_record';
import { ClaimSweep } from './claim_sweep';
import { Claims, type ClaimResult } from './claims';

const logger = Logger.create({ level: 'silent' });

class MemoryObjects extends ObjectStore {
  isDown = false;
  private readonly objects = new Map<string, Buffer>();
  override put(name: string, content: Buffer): Promise<void> {
    if (this.isDown) return Promise.reject(new PlatformUnavailableError('down'));
    this.objects.set(name, content);
    return Promise.resolve();
  }
  override get(name: string): Promise<Buffer | null> {
    if (this.isDown) return Promise.reject(new PlatformUnavailableError('down'));
    return Promise.resolve(this.objects.get(name) ?? null);
  }
}

class FakeMembership extends Membership {
  constructor(
    private readonly memberId: string,
    private readonly ended: ReadonlySet<string>,
  ) {
    super();
  }
  override self(): Member {
    const { memberId } = this;
    const address = { host: '127.0.0.1', peerPort: 1, availabilityZone: 'zone-1' };
    return { memberId, incarnation: `${memberId}-1`, ...address, status: 'active' };
  }
  override registered(): readonly Member[] {
    return [this.self()];
  }
  override incarnationState(memberId: string): IncarnationState {
    return this.ended.has(memberId) ? 'ended' : 'live';
  }
}

/** Entry instances that share one table and one object store. */
class Fixture {
  readonly clock = new VirtualClock();
  readonly store = new TableStore();
  readonly objects = new MemoryObjects();
  readonly ended = new Set<string>();
  readonly counters = new MemoryCounters();
  private readonly members = new Map<string, { table: MemoryTableService; claims: Claims }>();

  member(memberId: string): { readonly table: MemoryTableService; readonly claims: Claims } {
    const existing = this.members.get(memberId);
    if (existing) return existing;
    const { clock, counters, objects } = this;
    const table = new MemoryTableService(this.store, clock);
    const membership = new FakeMembership(memberId, this.ended);
    const member = { table, claims: new Claims({ clock, table, objects, membership, counters, logger }) };
    this.members.set(memberId, member);
    return member;
  }

  claim(memberId: string, key = 'hold-1', fingerprint = 'f', signal?: AbortSignal): Promise<ClaimResult> {
    return this.member(memberId).claims.claim({
      teamId: 'desk',
      idempotencyKey: key,
      fingerprint,
      deadlineAtMs: this.clock.monotonicMs() + 10_000,
      signal: signal ?? new AbortController().signal,
    });
  }

  /** Returns the kind of a granted claim, or the result name and outcome of a rejected one. */
  async outcome(claim: Promise<ClaimResult>): Promise<string> {
    const name = claim.then(
      ({ kind }) => kind,
      (error: unknown) =>
        error instanceof RequestError ? `${error.result.name} ${error.outcome}` : String(error),
    );
    await this.clock.advanceAsync(2_000, 50);
    return name;
  }

  async heldBy(memberId: string, key?: string): Promise<Extract<ClaimResult, { kind: 'held' }>['claim']> {
    const pending = this.claim(memberId, key);
    await this.clock.advanceAsync(200);
    const result = await pending;
    if (result.kind !== 'held') throw new Error('The key is claimed already.');
    return result.claim;
  }
}

const response = { status: 201, headers: { 'x-slot': '7' }, body: Buffer.from('ok') };

describe('Claims', () => {
  test('a second request is rejected while the first one runs, and gets its response afterwards', async () => {
    const fixture = new Fixture();
    const claim = await fixture.heldBy('a');
    expect(await fixture.outcome(fixture.claim('a'))).toBe('requestInProgress may_have_run');
    expect(await fixture.outcome(fixture.claim('b'))).toBe('requestInProgress may_have_run');
    expect(await fixture.outcome(fixture.claim('b', 'hold-1', 'other'))).toBe('idempotencyKeyReused not_run');
    claim.complete(response);
    await fixture.clock.advanceAsync(100);
    const replayed = fixture.claim('b');
    await fixture.clock.advanceAsync(100);
    expect(await replayed).toEqual({ kind: 'replay', response });
  });

  test('a request that an ended member may have run is never run again', async () => {
    const fixture = new Fixture();
    await fixture.heldBy('a');
    fixture.ended.add('a');
    expect(await fixture.outcome(fixture.claim('b'))).toBe('earlierAttemptUnknown may_have_run');
  });

  test('releases the key of a request that did not run, and retains that of one that may have run', async () => {
    const fixture = new Fixture();
    (await fixture.heldBy('a')).release();
    await fixture.clock.advanceAsync(100);
    (await fixture.heldBy('b')).markOutcomeUnknown();
    await fixture.clock.advanceAsync(100);
    expect(await fixture.outcome(fixture.claim('a'))).toBe('earlierAttemptUnknown may_have_run');
  });

  test('stores a large response in the object store', async () => {
    const fixture = new Fixture();
    const large = { ...response, body: Buffer.alloc(20_000, 'x') };
    (await fixture.heldBy('a')).complete(large);
    await fixture.clock.advanceAsync(100);
    const replayed = fixture.claim('b');
    await fixture.clock.advanceAsync(100);
    expect(await replayed).toEqual({ kind: 'replay', response: large });
    fixture.objects.isDown = true;
    expect(await fixture.outcome(fixture.claim('b'))).toBe('platformUnavailable ran');
  });

  test('records that a request ran even if its large response cannot be stored', async () => {
    const fixture = new Fixture();
    fixture.objects.isDown = true;
    (await fixture.heldBy('a')).complete({ ...response, body: Buffer.alloc(20_000) });
    await fixture.clock.advanceAsync(100);
    expect(await fixture.outcome(fixture.claim('b'))).toBe('answerNotKept ran');
  });

  test('a request whose response was too large to record is rejected as run', async () => {
    const fixture = new Fixture();
    (await fixture.heldBy('a')).complete(null);
    await fixture.clock.advanceAsync(100);
    expect(await fixture.outcome(fixture.claim('b'))).toBe('answerNotKept ran');
  });

  test('rejects a request as not run while the table is down, and leaves its key usable', async () => {
    const fixture = new Fixture();
    fixture.member('a').table.faults = { ...NO_TABLE_FAULTS, down: true };
    expect(await fixture.outcome(fixture.claim('a'))).toBe('claimUnavailable not_run');
    fixture.member('a').table.faults = NO_TABLE_FAULTS;
    await fixture.heldBy('a');
  });

  test('holds a claim although the response of the table was lost', async () => {
    const fixture = new Fixture();
    fixture.member('a').table.faults = { ...NO_TABLE_FAULTS, loseAnswers: 1 };
    await fixture.heldBy('a');
    expect(await fixture.outcome(fixture.claim('b'))).toBe('requestInProgress may_have_run');
  });

  test('deletes a claim that is written after its request was rejected', async () => {
    const fixture = new Fixture();
    fixture.member('a').table.faults = { ...NO_TABLE_FAULTS, requestDelayMs: 1_500 };
    expect(await fixture.outcome(fixture.claim('a'))).toBe('claimUnavailable not_run');
    fixture.member('a').table.faults = NO_TABLE_FAULTS;
    await fixture.clock.advanceAsync(3_000, 50);
    expect(fixture.store.read({ prefixes: ['claim/'] })).toEqual([]);
    await fixture.heldBy('b');
  });

  test('retries to record a response while the table is down', async () => {
    const fixture = new Fixture();
    const claim = await fixture.heldBy('a');
    fixture.member('a').table.faults = { ...NO_TABLE_FAULTS, down: true };
    claim.complete(response);
    await fixture.clock.advanceAsync(3_000, 50);
    expect(await fixture.outcome(fixture.claim('b'))).toBe('requestInProgress may_have_run');
    fixture.member('a').table.faults = NO_TABLE_FAULTS;
    await fixture.clock.advanceAsync(6_000, 50);
    expect(await fixture.outcome(fixture.claim('b'))).toBe('replay');
  });

  test('batches claims and records, so that there are far fewer transactions than claims under load', async () => {
    const fixture = new Fixture();
    fixture.member('a').table.faults = { ...NO_TABLE_FAULTS, requestDelayMs: 2, responseDelayMs: 2 };
    const held: Promise<void>[] = [];
    for (let index = 0; index < 1_000; index += 1) {
      held.push(
        fixture.claim('a', `key-${index}`).then((result) => {
          if (result.kind === 'held') result.claim.complete(response);
        }),
      );
      await fixture.clock.advanceAsync(1, 1);
    }
    await fixture.clock.advanceAsync(500, 1);
    await Promise.all(held);
    const rows = fixture.store.read({ prefixes: ['claim/'] });
    expect(rows.filter(({ value }) => (value as { state: string }).state === 'done')).toHaveLength(1_000);
    const transactions = fixture.counters.snapshot().get('claims.transactions') ?? 0;
    process.stdout.write(`claims: ${transactions} transactions for 1,000 claims and their records\n`);
    expect(transactions).toBeLessThan(700);
  }, 60_000);

  test('a sweep removes only claims older than a day', async () => {
    const fixture = new Fixture();
    await fixture.heldBy('a', 'old');
    fixture.clock.advance(CLAIM_LIFETIME_MS);
    await fixture.heldBy('a', 'recent');
    const { clock, counters } = fixture;
    const { table } = fixture.member('b');
    const sweep = new ClaimSweep({
      clock,
      counters,
      table,
      logger,
      teamIds: () => ['desk'],
      random: () => 0,
    });
    for (let slice = 0; slice < 512; slice += 1) await sweep.sweepSlice();
    expect(fixture.store.read({ prefixes: ['claim/'] }).map(({ key }) => key)).toEqual([
      claimKey('desk', 'recent'),
    ]);
  });
});

/** One step of a random history. */
type Step =
  | { readonly kind: 'request'; readonly member: number; readonly runMs: number; readonly cancelMs: number }
  | { readonly kind: 'faults'; readonly member: number; readonly faults: Partial<typeof NO_TABLE_FAULTS> }
  | { readonly kind: 'pause'; readonly member: number }
  | { readonly kind: 'wait'; readonly ms: number };

const member = fc.integer({ min: 0, max: 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      member,
      runMs: fc.nat(300),
      cancelMs: fc.nat(60),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('faults' as const),
      member,
      faults: fc.constantFrom(
        {},
        { down: true },
        { loseAnswers: 1 },
        { loseAnswers: 3 },
        { loseRequests: 1 },
        { requestDelayMs: 40 },
        { requestDelayMs: 1_500 },
        { responseDelayMs: 1_200 },
      ),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), member }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(800) }) },
);

describe('random histories of one key with two entry instances', () => {
  test('run its request at most once, and never a request that was reported as not run', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (steps) => {
        const fixture = new Fixture();
        const executed: number[] = [];
        const rejectedNotRun: number[] = [];
        const paused = new Set<number>();
        const run = async (
          id: number,
          { member: at, runMs, cancelMs }: Extract<Step, { kind: 'request' }>,
        ) => {
          const caller = new AbortController();
          // A third of the callers disconnect early.
          if (cancelMs < 20)
            fixture.clock.schedule(cancelMs, () => {
              caller.abort();
            });
          try {
            const result = await fixture.claim(`member-${at}`, 'key', 'f', caller.signal);
            if (result.kind === 'replay') return;
            if (caller.signal.aborted || paused.has(at)) {
              // The freshness check after the claim does the same on an instance that was paused.
              result.claim.release();
              rejectedNotRun.push(id);
              return;
            }
            executed.push(id);
            await fixture.clock.delay(runMs);
            if (runMs % 3 === 0) result.claim.markOutcomeUnknown();
            else result.claim.complete(response);
          } catch (error) {
            if (!(error instanceof RequestError)) throw error;
            if (error.outcome === 'not_run') rejectedNotRun.push(id);
          }
        };
        const requests: Promise<void>[] = [];
        for (const [id, next] of steps.entries()) {
          if (next.kind === 'request') requests.push(run(id, next));
          else if (next.kind === 'wait') await fixture.clock.advanceAsync(next.ms, 20);
          else if (next.kind === 'faults')
            fixture.member(`member-${next.member}`).table.faults = { ...NO_TABLE_FAULTS, ...next.faults };
          else {
            paused.add(next.member);
            fixture.ended.add(`member-${next.member}`);
          }
          await settlePromises();
        }
        for (const at of [0, 1]) fixture.member(`member-${at}`).table.faults = NO_TABLE_FAULTS;
        await fixture.clock.advanceAsync(4_000, 50);
        await Promise.all(requests);
        expect(executed.length).toBeLessThanOrEqual(1);
        expect(executed.filter((id) => rejectedNotRun.includes(id))).toEqual([]);
      }),
      { seed: 20_261_204, numRuns: 150 },
    );
  }, 120_000);
});
