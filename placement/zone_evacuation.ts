/** Moves long-running tasks out of closed availability zones while there is room for them elsewhere. */
import type { Clock } from '../kernel/clock';
import type { ClosedZones } from '../scheduling/closed_zones';
import type { FleetRules } from '../scheduling/fleet_rules';
import { occupiedBy, type TaskId } from '../scheduling/job_definition';
import { queueOf } from '../scheduling/job_queue';
import type { JobRecord } from '../scheduling/job_record';
import { TaskRoom, type PreemptibleRun, type RoomClaim } from '../scheduling/task_room';
import type { Counters } from '../telemetry/counters';
import { LOG_EVENTS } from '../telemetry/events_catalogue';
import type { Logger } from '../telemetry/logger';
import { evacuate } from './evacuation';
import type { InstanceController } from './instance_controller';
import type { PlacementState, RecordedRun } from './placement_state';
import { candidatesByPool } from './plan_request';
import type { TaskPlacer } from './task_placer';
import type { WorkerFleet } from './worker_fleet';
import type { WorkerSession } from './worker_session';

export interface ZoneEvacuationOptions {
  readonly clock: Clock;
  readonly closedZones: () => ClosedZones;
  readonly state: PlacementState;
  readonly fleet: WorkerFleet;
  readonly placer: Pick<TaskPlacer, 'workersOf'>;
  readonly instanceController: Pick<InstanceController, 'isDraining'>;
  readonly counters: Counters;
  readonly logger: Logger;
}

export class ZoneEvacuation {
  constructor(private readonly options: ZoneEvacuationOptions) {}

  /** Stops the long-running tasks that may move now; called several times a second. */
  tick(rules: FleetRules, unixMs: number): void {
    const { clock, closedZones, state, fleet, counters, logger } = this.options;
    const { isKnown, closures } = closedZones();
    if (!isKnown || closures.size === 0) return;
    const sessions = [...fleet.all()].filter((session) => this.mustBeEmptied(session, closures));
    if (sessions.length === 0) return;
    const nowMs = clock.monotonicMs();
    const rooms = new Map<string, TaskRoom>();
    const roomOf = (poolId: string): TaskRoom => {
      const room = rooms.get(poolId) ?? this.createRoom(poolId, rules, unixMs, sessions);
      rooms.set(poolId, room);
      return room;
    };
    evacuate(
      sessions.map(({ worker }) => worker.workerId),
      {
        state,
        fleet,
        nowMs,
        claimRoom: (run) => {
          const queue = queueOf(rules, run.record.job);
          if (
            queue === undefined ||
            !roomOf(queue.poolId).claim(claimOf(run.record, run.task, queue.priority))
          )
            return false;
          counters.increment('placement.moved_out_of_zone');
          const { task, workerId } = run;
          const zone = fleet.get(workerId)?.entry.availabilityZone ?? '';
          const rowVersion = closures.get(zone)?.rowVersion ?? null;
          logger.info(LOG_EVENTS.movedOutOfZone, { ...task, run: run.run, workerId, zone, rowVersion });
          return true;
        },
      },
    );
  }

  /** Draining workers are evacuated without regard to their zone. */
  private mustBeEmptied(session: WorkerSession, closures: ClosedZones['closures']): boolean {
    const { entry, worker } = session;
    return (
      closures.has(entry.availabilityZone) &&
      this.options.state.longRunningCountOn(worker.workerId) > 0 &&
      entry.state !== 'draining' &&
      !this.options.instanceController.isDraining(session)
    );
  }

  /** The room of a pool that is left once the tasks that wait or are being stopped have theirs. */
  private createRoom(
    poolId: string,
    rules: FleetRules,
    unixMs: number,
    sessions: readonly WorkerSession[],
  ): TaskRoom {
    const { clock, state, placer } = this.options;
    const workers = placer.workersOf(poolId).map(({ workerId, labels, free, maxNewTasks }) => ({
      workerId,
      labels,
      free,
      maxNewTasks,
      preemptible: [...state.runsOn(workerId)].flatMap((run) => preemptibleRun(run, rules)),
    }));
    const room = new TaskRoom(workers);
    const poolIds = new Set([poolId]);
    const waiting = candidatesByPool({ state, rules, nowMs: clock.monotonicMs(), unixMs, poolIds }).get(
      poolId,
    );
    for (const { isLongRunning, job, readyStep, queue } of waiting ?? []) {
      const claim = claimOf(job.record, readyStep, queue.priority);
      if (isLongRunning) readyStep.waiting.forEach(() => room.claim(claim));
    }
    for (const session of sessions) {
      for (const run of state.runsOn(session.worker.workerId)) {
        const queue = queueOf(rules, run.record.job);
        const isStopping = session.findRun(run.task, run.run)?.phase === 'stopping';
        if (queue?.poolId === poolId && isStopping && run.record.step(run.task.step).isLongRunning)
          room.claim(claimOf(run.record, run.task, queue.priority));
      }
    }
    return room;
  }
}

function claimOf(
  record: JobRecord,
  { occurrence, step }: Pick<TaskId, 'occurrence' | 'step'>,
  priority: number,
): RoomClaim {
  return {
    stepKey: `${record.job.jobId}.${occurrence}.${step}`,
    definition: record.step(step),
    priority,
    runsOn: (workerId) =>
      record.runsOfStep(occurrence, step).filter((other) => other.workerId === workerId).length,
  };
}

/** Runs that the planner stops for a long-running task. */
function preemptibleRun({ record, task }: RecordedRun, rules: FleetRules): readonly PreemptibleRun[] {
  const step = record.step(task.step);
  if (step.isLongRunning || step.isGang) return [];
  return [{ priority: queueOf(rules, record.job)?.priority ?? 0, occupied: occupiedBy(step) }];
}
