/** Maintains one pool while this entry instance holds the maintenance role of the pool. */
import type { Change, ConfigurationState } from '../config/change';
import type { ConfigurationService } from '../config/configuration_service';
import type { Clock } from '../kernel/clock';
import { MEMBER_PREFIX, memberRowSchema } from '../membership/member_row';
import type { Membership } from '../membership/membership';
import type { FleetConfiguration } from '../model/fleet';
import { PlatformUnavailableError } from '../platform/instance_list';
import type { OperationRequest, OperationState, PoolOperations } from '../platform/pool_operations';
import type { TableService } from '../platform/table_service';
import type { HeldRole, RoleLeases } from '../roles/role_lease';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS, type LogEvent } from '../telemetry/events_catalogue';
import type { LogFields } from '../telemetry/logger';
import type { InFlightTracker } from './in_flight_tracker';
import { isRecent, type PlatformView } from './platform_view';
import { buildPoolTransaction, readPoolRows, type PoolRows } from './pool_rows';
import { instancesToReboot, planTick, wavesOfPool, type TickPlan } from './tick_plan';
import type { WavePolicy } from './wave_policy';

export interface PoolMaintainerOptions {
  readonly clock: Clock;
  readonly table: TableService;
  readonly configuration: Pick<ConfigurationService, 'refresh' | 'state' | 'change'>;
  readonly roles: RoleLeases;
  readonly membership: Membership;
  readonly operations: PoolOperations;
  readonly watch: InFlightTracker;
  readonly policy: WavePolicy;
  readonly counters: Counters;
  readonly log: (event: LogEvent, fields: LogFields) => void;
  readonly view: () => PlatformView | null;
  readonly newOperationId: () => string;
}

/** Whether the pool needs further ticks; `held_elsewhere` means that another entry instance holds the role. */
export type TickResult = 'working' | 'idle' | 'held_elsewhere';

/**
 * Maintains a pool in ticks. Each tick reads all rows again, plans one step for each
 * instance and commits the steps in one transaction, so another entry instance that
 * acquires the role can continue from any tick.
 *
 * @example
 * ```ts
 * const maintainer = new PoolMaintainer('quotes', options);
 * await maintainer.tick(); // 'working' until the pool needs nothing more
 * ```
 */
export class PoolMaintainer {
  private role: HeldRole | null = null;

  constructor(
    private readonly poolId: string,
    private readonly options: PoolMaintainerOptions,
  ) {}

  /**
   * Performs the next steps. Throws the errors of the table service, and
   * `RequestError` while this entry instance is not an active member; a later
   * tick continues from the steps that were applied.
   */
  async tick(): Promise<TickResult> {
    const { configuration, roles, table } = this.options;
    const role = await roles.acquire(`maintenance/${this.poolId}`);
    this.role = role;
    if (role === null) return 'held_elsewhere';
    // Only the entry instance that holds the role changes instance states of the pool, so the
    // configuration and the rows, which are read separately, are consistent.
    await configuration.refresh();
    const { fleet } = configuration.state();
    const rows = await readPoolRows(table, fleet, this.poolId);
    const plan = await this.plan(fleet, rows);
    await this.write(role, fleet, rows, plan);
    return hasRemainingWork(fleet, this.poolId, plan) ? 'working' : 'idle';
  }

  /** Releases the role on a best-effort basis. */
  async release(): Promise<void> {
    const { role } = this;
    this.role = null;
    if (role) await this.options.roles.release(role);
  }

  private async plan(fleet: FleetConfiguration, rows: PoolRows): Promise<TickPlan> {
    const operations = await this.runOperations(fleet, rows);
    const isAllWorkReported = await this.isAllWorkReported(fleet, rows);
    const { watch, policy, newOperationId, clock } = this.options;
    return planTick({
      poolId: this.poolId,
      fleet,
      entries: rows.entries,
      records: rows.records,
      view: this.options.view(),
      nowMs: clock.monotonicMs(),
      isIdle: (entry) => watch.isIdle(entry, isAllWorkReported),
      operations,
      policy,
      newOperationId,
    });
  }

  /** Starts every reboot that is due, if not started before, and returns the states by operation id. */
  private async runOperations(
    fleet: FleetConfiguration,
    rows: PoolRows,
  ): Promise<ReadonlyMap<string, OperationState>> {
    const requests = [...rows.entries.values()].flatMap(
      ({ instanceId, operationId }): readonly OperationRequest[] => {
        const isDue = fleet.instanceStates.get(instanceId)?.state === 'rebooting';
        return isDue && operationId !== null ? [{ operationId, instanceId, kind: 'reboot' }] : [];
      },
    );
    const results = await Promise.all(requests.map((request) => this.startOperation(request)));
    return new Map(results.flatMap((result) => (result ? [result] : [])));
  }

  private async startOperation(request: OperationRequest): Promise<readonly [string, OperationState] | null> {
    try {
      return [request.operationId, await this.options.operations.start(request)];
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) throw error;
      this.options.counters.increment('maintenance.operation_retried', request.kind);
      this.options.log(LOG_EVENTS.rebootNotStarted, {
        instanceId: request.instanceId,
        reason: error.message,
      });
      return null;
    }
  }

  /**
   * Whether members report all work that may be running. False while a fenced
   * incarnation may have work running, because no member reports that.
   */
  private async isAllWorkReported(fleet: FleetConfiguration, rows: PoolRows): Promise<boolean> {
    const isWaiting = [...rows.entries.keys()].some((id) => {
      const state = fleet.instanceStates.get(id)?.state;
      return state === 'draining' || state === 'moving';
    });
    if (!isWaiting) return true;
    const { table, membership } = this.options;
    const members = await table.read({ prefixes: [MEMBER_PREFIX] });
    return members
      .map(({ value }) => memberRowSchema.parse(value))
      .every((row) =>
        [...row.predecessors, row.incarnation].every(
          (incarnation) => membership.incarnationState(row.memberId, incarnation) !== 'fencing',
        ),
      );
  }

  private async write(
    role: HeldRole,
    fleet: FleetConfiguration,
    rows: PoolRows,
    plan: TickPlan,
  ): Promise<void> {
    const { conditions, writes } = buildPoolTransaction(this.poolId, rows, plan);
    const extras = { conditions: [role.condition, ...conditions], writes };
    if (plan.states.size > 0) {
      const build = (state: ConfigurationState): Change | null => this.buildChange(state, fleet, plan);
      this.recordResult(await this.options.configuration.change(build, extras), plan);
    } else if (writes.length > 0) {
      const { kind } = await this.options.table.transact(extras);
      if (kind === 'conflict') this.options.counters.increment('maintenance.retried', 'conflict');
    }
  }

  private buildChange(state: ConfigurationState, planned: FleetConfiguration, plan: TickPlan): Change | null {
    const view = this.options.view();
    const isStale = view === null || !isRecent(view, this.options.clock.monotonicMs());
    // The plan is valid only for the configuration that it was made from, and while the list is recent.
    if (state.fleet.revision !== planned.revision || isStale) return null;
    const objects = [...plan.states.values()].map((value) => ({
      kind: 'instanceStates' as const,
      objectId: value.instanceId,
      value,
    }));
    return { revision: state.fleet.revision + 1, ticketNumber: null, objects };
  }

  private recordResult(result: 'committed' | 'conflict' | 'unchanged', plan: TickPlan): void {
    if (result !== 'committed') {
      this.options.counters.increment('maintenance.retried', result);
      return;
    }
    for (const { instanceId, state, poolId } of plan.states.values()) {
      this.options.counters.increment('maintenance.state_changed', state);
      this.options.log(LOG_EVENTS.instanceStateChanged, { instanceId, state, poolId });
    }
  }
}

/** Whether the pool still has waves, moves or unavailable instances to work on. */
function hasRemainingWork(fleet: FleetConfiguration, poolId: string, plan: TickPlan): boolean {
  if (plan.states.size > 0 || plan.entries.size > 0) return true;
  return wavesOfPool(fleet, poolId).some(
    (wave) => instancesToReboot(wave, fleet, plan.records.get(wave.waveId)).length > 0,
  );
}
