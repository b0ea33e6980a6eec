/** A guard with the default limits, for tests. */
import type { Clock } from '../kernel/clock';
import { VirtualClock } from '../kernel/virtual_clock';
import { MemoryCounters } from '../telemetry/counters';
import { Logger } from '../telemetry/logger';
import { ClientGuard } from './client_guard';
import { defaultClientLimitSettings, type ClientLimitSettings } from './client_limit_settings';
import { ClientLimits, type MachineLimits } from './client_limits';

export interface GuardHarnessOptions {
  readonly clock?: Clock;
  readonly settings?: Partial<ClientLimitSettings>;
  readonly machine?: MachineLimits;
  readonly counters?: MemoryCounters;
  readonly readResidentBytes?: () => number;
}

export function testClientLimits({ settings = {}, machine }: GuardHarnessOptions = {}): ClientLimits {
  return new ClientLimits(
    { ...defaultClientLimitSettings(), ...settings },
    machine ?? { memoryBytes: null, maxDescriptors: null },
  );
}

export function testClientGuard(options: GuardHarnessOptions = {}): ClientGuard {
  return new ClientGuard({
    limits: testClientLimits(options),
    clock: options.clock ?? new VirtualClock(),
    counters: options.counters ?? new MemoryCounters(),
    logger: Logger.create({ level: 'silent' }),
    readResidentBytes: options.readResidentBytes ?? (() => 0),
  });
}
