/** Removes claims that are older than a day, one slice of the keys of a team at a time. */
import type { Clock, Timer } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { CLAIM_LIFETIME_MS, claimRowSchema, claimSlicePrefix } from './claim_record';

/**
 * Interval in milliseconds after which the next slice is swept. Nine members need
 * about 16 h for 400 teams with 256 slices each.
 */
const SWEEP_INTERVAL_MS = 5_000;
const SLICES_PER_TEAM = 256;
const MAX_DELETIONS_PER_SLICE = 64;

/**
 * Jump of the wall clock, in milliseconds, above which no claims are removed, since
 * new claims could look expired.
 */
const MAX_WALL_CLOCK_JUMP_MS = 60_000;

export interface ClaimSweepOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Ids of the teams whose claims are swept. */
  readonly teamIds: () => readonly string[];
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

export class ClaimSweep {
  private timer: Timer | null = null;
  private isStopped = false;
  private nextPosition: number | null = null;
  private readonly initialWallOffsetMs: number;

  constructor(private readonly options: ClaimSweepOptions) {
    this.initialWallOffsetMs = options.clock.wallMs() - options.clock.monotonicMs();
  }

  start(): void {
    if (this.isStopped) return;
    this.timer = this.options.clock.schedule(SWEEP_INTERVAL_MS, () => {
      void this.sweepSlice().finally(() => {
        this.start();
      });
    });
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Sweeps the next slice. Each member begins at a random slice, so that the members share the work. */
  async sweepSlice(): Promise<void> {
    const { clock, table, counters, logger, random } = this.options;
    const jumpMs = clock.wallMs() - clock.monotonicMs() - this.initialWallOffsetMs;
    if (Math.abs(jumpMs) > MAX_WALL_CLOCK_JUMP_MS) return;
    const teamIds: readonly (string | null)[] = [null, ...this.options.teamIds()];
    const sliceCount = teamIds.length * SLICES_PER_TEAM;
    const position = (this.nextPosition ?? Math.floor(random() * sliceCount)) % sliceCount;
    this.nextPosition = position + 1;
    const teamId = teamIds[Math.floor(position / SLICES_PER_TEAM)] ?? null;
    try {
      const rows = await table.read({ prefixes: [claimSlicePrefix(teamId, position % SLICES_PER_TEAM)] });
      const expired = rows
        .filter(({ value }) => isExpired(value, clock.wallMs()))
        .slice(0, MAX_DELETIONS_PER_SLICE);
      if (expired.length === 0) return;
      await table.transact({
        conditions: expired.map(({ key, version }) => ({ key, version })),
        writes: expired.map(({ key }) => ({ key, value: null })),
      });
      counters.increment('claims.swept', '', expired.length);
      logger.info(LOG_EVENTS.claimsSwept, { count: expired.length });
    } catch {
      counters.increment('claims.sweep_failed');
    }
  }
}

function isExpired(value: unknown, wallMs: number): boolean {
  const parsed = claimRowSchema.safeParse(value);
  return parsed.success && wallMs - parsed.data.claimedAtMs > CLAIM_LIFETIME_MS;
}
