import { Readable } from 'node:stream';
import fc from 'fast-check';
import { VirtualClock } from '../kernel/virtual_clock';
import { EMPTY_CONFIGURATION, instanceSchema, type FleetConfiguration } from '../model/fleet';
import { RequestError } from '../model/request_error';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import {
  AttemptTransport,
  type FailureReason,
  type AttemptRequest,
  type AttemptResult,
  type AttemptTarget,
} from './attempt_transport';
import type { DispatchRequest } from './dispatcher';
import { FleetDispatcher } from './fleet_dispatcher';
import { DrainingTargetTracker } from './draining_target_tracker';
import { TargetSelector } from './target_selector';

/** How a scripted target handles an attempt. */
type Behaviour =
  | { readonly kind: 'respond'; readonly status: number }
  | { readonly kind: 'fail'; readonly outcome: 'not_run' | 'may_have_run'; readonly reason: FailureReason };

class ScriptedTransport extends AttemptTransport {
  readonly executed: string[] = [];
  readonly targets: string[] = [];
  private next = 0;
  constructor(private readonly script: readonly Behaviour[]) {
    super();
  }
  override attempt(target: AttemptTarget, request: AttemptRequest): Promise<AttemptResult> {
    const behaviour = this.script[this.next % this.script.length];
    this.next += 1;
    this.targets.push(target.instanceId);
    if (behaviour === undefined) throw new Error('The script is empty.');
    if (behaviour.kind === 'fail') {
      // Worst case: an attempt that may have run did run.
      if (behaviour.outcome === 'may_have_run') this.executed.push(request.requestId);
      return Promise.resolve({ ...behaviour, kind: 'failed', cause: null });
    }
    this.executed.push(request.requestId);
    const body = Readable.from([]);
    const ended = Promise.resolve('complete' as const);
    const { instanceId } = target;
    const { status } = behaviour;
    return Promise.resolve({ kind: 'responded', response: { status, headers: {}, body, instanceId, ended } });
  }
  override retainOnly(): void {
    // There are no connections.
  }
  override close(): Promise<void> {
    return Promise.resolve();
  }
}

function fleetOf(count: number): FleetConfiguration {
  const ids = Array.from({ length: count }, (_, index) => `w${index}`);
  const shared = { poolId: 'quotes', host: '127.0.0.1', port: 1, availabilityZone: 'z', rack: 'r' };
  return {
    ...EMPTY_CONFIGURATION,
    instances: new Map(
      ids.map((instanceId) => [instanceId, instanceSchema.parse({ instanceId, ...shared })]),
    ),
    instanceStates: new Map(
      ids.map((instanceId) => [
        instanceId,
        { instanceId, poolId: 'quotes', movingTo: null, state: 'serving' as const, epoch: 0 },
      ]),
    ),
  };
}

function createDispatcher(script: readonly Behaviour[], targetCount = 4) {
  const clock = new VirtualClock();
  const counters = new MemoryCounters();
  const transport = new ScriptedTransport(script);
  const drainingTracker = new DrainingTargetTracker();
  const configuration = fleetOf(targetCount);
  const targets = new TargetSelector({
    fleet: () => configuration,
    drainingTracker,
    availabilityZone: 'z',
    entryInstanceCount: () => 1,
    random: () => 0.5,
  });
  const logger = Logger.create({ level: 'silent' });
  const random = (): number => 0.5;
  const dispatcher = new FleetDispatcher({
    clock,
    transport,
    targets,
    drainingTracker,
    counters,
    logger,
    random,
  });
  const send = async (requestId: string, isIdempotent: boolean): Promise<string> => {
    const request: DispatchRequest = {
      requestId,
      poolId: 'quotes',
      method: 'POST',
      path: '/',
      headers: {},
      body: null,
      isIdempotent,
      deadlineAtMs: clock.monotonicMs() + 10_000,
      bodyDeadlineAtMs: clock.monotonicMs() + 60_000,
      signal: new AbortController().signal,
      beforeSend: () => undefined,
    };
    const sent = dispatcher.dispatch(request).then(
      ({ status }) => `responded ${status}`,
      (error: unknown) => (error instanceof RequestError ? error.outcome : String(error)),
    );
    await clock.advanceAsync(200, 20);
    return sent;
  };
  return { send, transport, counters, targets };
}

const behaviour: fc.Arbitrary<Behaviour> = fc.oneof(
  fc.record({ kind: fc.constant('respond' as const), status: fc.constantFrom(200, 201, 500, 503) }),
  fc.record({
    kind: fc.constant('fail' as const),
    outcome: fc.constant('not_run' as const),
    reason: fc.constantFrom<FailureReason>('refused', 'connect_timeout', 'rejected_by_target'),
  }),
  fc.record({
    kind: fc.constant('fail' as const),
    outcome: fc.constant('may_have_run' as const),
    reason: fc.constantFrom<FailureReason>('reset', 'deadline', 'mismatch', 'unverifiable'),
  }),
);

describe('FleetDispatcher', () => {
  test('runs a request that is not idempotent at most once, and reports not_run only if it did not run', async () => {
    const requests = fc.array(fc.boolean(), { minLength: 1, maxLength: 12 });
    await fc.assert(
      fc.asyncProperty(
        fc.array(behaviour, { minLength: 1, maxLength: 12 }),
        requests,
        async (script, idempotentFlags) => {
          const { send, transport } = createDispatcher(script);
          for (const [index, isIdempotent] of idempotentFlags.entries()) {
            const id = `request-${index}`;
            const result = await send(id, isIdempotent);
            const executions = transport.executed.filter((executed) => executed === id).length;
            if (!isIdempotent) expect(executions).toBeLessThanOrEqual(1);
            if (result === 'not_run') expect(executions).toBe(0);
            if (result.startsWith('responded')) expect(executions).toBeGreaterThan(0);
          }
        },
      ),
      { seed: 20_261_204, numRuns: 100 },
    );
  }, 60_000);

  test('limits retries to a tenth of the requests and the initial credit when all targets reject', async () => {
    const rejected: Behaviour = { kind: 'fail', outcome: 'not_run', reason: 'rejected_by_target' };
    const { send, transport, counters } = createDispatcher([rejected]);
    for (let index = 0; index < 100; index += 1) expect(await send(`r${index}`, false)).toBe('not_run');
    expect(transport.targets.length - 100).toBeLessThanOrEqual(20);
    expect(counters.snapshot().get('retries.not_made:budget')).toBeGreaterThan(0);
  });

  test('tries another target after a refused connection, and counts nothing as in flight afterwards', async () => {
    const refused: Behaviour = { kind: 'fail', outcome: 'not_run', reason: 'refused' };
    const { send, transport, targets } = createDispatcher([refused, { kind: 'respond', status: 200 }], 2);
    expect(await send('r', false)).toBe('responded 200');
    expect(new Set(transport.targets).size).toBe(2);
    expect(['w0', 'w1'].map((id) => targets.inFlight(id))).toEqual([0, 0]);
  });

  test('counts work that may still run at a target as in flight', async () => {
    const { send, targets } = createDispatcher(
      [{ kind: 'fail', outcome: 'may_have_run', reason: 'reset' }],
      1,
    );
    expect(await send('r', false)).toBe('may_have_run');
    expect(targets.inFlight('w0')).toBe(1);
  });
});
