/** Removes claims that are older than a day, one small slice at a time. */
import type { Clock, Timer } from '../kernel/clock';
import type { TableService } from '../platform/table_service';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { CLAIM_LIFETIME_MS, claimRowSchema, claimSlicePrefix } from './claim_record';

/** Pause between two slices. 400 teams with 256 slices each take nine members about 16 h. */
const INTERVAL_MS = 5_000;
const SLICES_PER_TEAM = 256;
const MAX_DELETIONS = 64;

/** A wall clock that jumped would make young claims look old. */
const WALL_TOLERANCE_MS = 60_000;

export interface ClaimSweepOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Teams whose claims are swept. */
  readonly teamIds: () => readonly string[];
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

export class ClaimSweep {
  private timer: Timer | null = null;
  private isStopped = false;
  private position: number | null = null;
  private readonly wallOffsetMs: number;

  constructor(private readonly options: ClaimSweepOptions) {
    this.wallOffsetMs = options.clock.wallMs() - options.clock.monotonicMs();
  }

  start(): void {
    if (this.isStopped) return;
    this.timer = this.options.clock.schedule(INTERVAL_MS, () => {
      void this.sweepSlice().finally(() => {
        this.start();
      });
    });
  }

  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  /** Sweeps the next slice; members begin at random places, so that they share the work. */
  async sweepSlice(): Promise<void> {
    const { clock, table, counters, logger, random } = this.options;
    const driftMs = clock.wallMs() - clock.monotonicMs() - this.wallOffsetMs;
    if (Math.abs(driftMs) > WALL_TOLERANCE_MS) return;
    const teams: readonly (string | null)[] = [null, ...this.options.teamIds()];
    const slices = teams.length * SLICES_PER_TEAM;
    const position = (this.position ?? Math.floor(random() * slices)) % slices;
    this.position = position + 1;
    const teamId = teams[Math.floor(position / SLICES_PER_TEAM)] ?? null;
    try {
      const rows = await table.read({ prefixes: [claimSlicePrefix(teamId, position % SLICES_PER_TEAM)] });
      const old = rows.filter(({ value }) => isOld(value, clock.wallMs())).slice(0, MAX_DELETIONS);
      if (old.length === 0) return;
      await table.transact({
        conditions: old.map(({ key, version }) => ({ key, version })),
        writes: old.map(({ key }) => ({ key, value: null })),
      });
      counters.increment('claims.swept', '', old.length);
      logger.info(LOG_EVENTS.claimsSwept, { count: old.length });
    } catch {
      counters.increment('claims.sweep_failed');
    }
  }
}

function isOld(value: unknown, wallMs: number): boolean {
  const parsed = claimRowSchema.safeParse(value);
  return parsed.success && wallMs - parsed.data.claimedAtMs > CLAIM_LIFETIME_MS;
}
