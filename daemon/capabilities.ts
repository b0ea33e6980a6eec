/** Capabilities that the plug-ins of the scheduler process provide. */
import type { AdmissionControl } from '../admission_control/admission_control';
import type { CallerCodec } from '../callers/caller_codec';
import type { JobOperations } from '../callers/job_operations';
import type { ClientGuard } from '../entry/client_guard';
import { capability } from '../kernel/capability';
import type { FleetRules } from '../scheduling/fleet_rules';
import type { InstanceOperations } from '../scheduling/instance_operations';
import type { PlacementAdvice } from '../scheduling/placement_advice';
import type { PlatformRowCodec } from '../scheduling/platform_row_codec';
import type { ClosedZones, CurrentClosedZones } from '../scheduling/closed_zones';
import type { CurrentRules } from '../scheduling/current_rules';
import type { MaintenanceWave } from '../scheduling/maintenance_wave';
import type { WorkerGateway } from '../scheduling/worker_gateway';
import type { RelayClient } from '../relay/relay_client';
import type { RowStore } from '../store/row_store';
import type { NodeSettings } from './node_settings';
import type { SchedulerSettings } from './scheduler_settings';

/** What the operator has configured, as last read from the store. */
export interface OperatorState {
  /** The fleet rules in force, `null` until some have been read. */
  readonly rules: () => FleetRules | null;
  /** Maintenance waves by number. */
  readonly waves: () => ReadonlyMap<number, MaintenanceWave>;
  /** Zones in which no task may be started. */
  readonly closedZones: () => ClosedZones;
  /** Whether the store responded to the latest call. */
  readonly isStoreReachable: () => boolean;
}

/** Handover of the placement leadership between scheduler processes. */
export interface LeaderHandover {
  /** Sets the listener for requests of the placement leader of `epoch` that this process succeed it. */
  readonly onTakeoverRequest: (listener: (epoch: number) => void) => void;
  /** Sets how this process tells whether there has been a leader later than that of `epoch`. */
  readonly setLaterLeaderCheck: (knowsLaterLeader: (epoch: number) => boolean) => void;
  /**
   * Addresses of registered processes that have far more processors and should
   * therefore be the placement leader instead, the largest first.
   */
  readonly largerPeerAddresses: () => readonly string[];
  /** Number of registered processes with this one; some may have stopped since. */
  readonly processCount: () => number;
}

/** What a process knows of the epochs of the placement leaders. */
export interface LeaderEpochs {
  readonly observe: (epoch: number) => void;
}

export const JOB_OPERATIONS = capability<JobOperations>('relay.job_operations');
export const RELAY_CLIENT = capability<RelayClient>('relay.client');
export const LEADER_HANDOVER = capability<LeaderHandover>('relay.leader_handover');
export const ADMISSION_CONTROL = capability<AdmissionControl>('admission_control.admission');
export const LEADER_EPOCHS = capability<LeaderEpochs>('admission_control.leader_epochs');
export const NODE_SETTINGS = capability<NodeSettings>('daemon.node_settings');
export const SCHEDULER_SETTINGS = capability<SchedulerSettings>('daemon.scheduler_settings');
export const CLIENT_GUARD = capability<ClientGuard>('daemon.client_guard');
export const ROW_STORE = capability<RowStore>('platform.row_store');
export const PLATFORM_ROW_CODEC = capability<PlatformRowCodec>('platform.row_codec');
export const WORKER_GATEWAY = capability<WorkerGateway>('platform.worker_gateway');
export const INSTANCE_OPERATIONS = capability<InstanceOperations>('platform.instance_operations');
export const PLACEMENT_ADVICE = capability<PlacementAdvice | null>('platform.placement_advice');
export const CALLER_CODEC = capability<CallerCodec>('platform.caller_codec');
export const CURRENT_RULES = capability<CurrentRules>('daemon.current_rules');
export const CURRENT_CLOSED_ZONES = capability<CurrentClosedZones>('daemon.current_closed_zones');
export const OPERATOR_STATE = capability<OperatorState>('daemon.operator_state');
