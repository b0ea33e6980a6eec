/** Numbered log events; docs/events.md lists them. */

export interface LogEvent {
  readonly id: number;
  readonly name: string;
}

function logEvent(id: number, name: string): LogEvent {
  return { id, name };
}

export const LOG_EVENTS = {
  started: logEvent(100, 'started'),
  stopping: logEvent(101, 'stopping'),
  stopped: logEvent(102, 'stopped'),
  turnFailed: logEvent(103, 'turn failed'),
  settingsRejected: logEvent(104, 'settings rejected'),
  requestRejected: logEvent(200, 'request rejected'),
  requestFailed: logEvent(201, 'request failed'),
  attemptFailed: logEvent(202, 'attempt failed'),
  targetConnectionRefused: logEvent(220, 'target refused a connection'),
  targetEjected: logEvent(221, 'target ejected'),
  instanceListUnavailable: logEvent(222, 'instance list unavailable'),
  claimsUnavailable: logEvent(223, 'claims unavailable'),
  claimRecordDelayed: logEvent(224, 'claim record delayed'),
  claimsSwept: logEvent(225, 'old claims removed'),
  configurationApplied: logEvent(300, 'configuration applied'),
  configurationStale: logEvent(301, 'configuration stale'),
  tableUnavailable: logEvent(400, 'table service unavailable'),
  instanceStateChanged: logEvent(600, 'instance state changed'),
  maintenanceFailed: logEvent(601, 'maintenance step failed'),
  platformListUnavailable: logEvent(602, 'platform list unavailable'),
  rebootNotStarted: logEvent(603, 'reboot not started'),
  leadershipAcquired: logEvent(700, 'placement leadership acquired'),
  leadershipLost: logEvent(701, 'placement leadership lost'),
  jobEnded: logEvent(702, 'job ended'),
  jobRetried: logEvent(703, 'job retried'),
  workerSuspended: logEvent(704, 'worker suspended'),
  batchWorkPreempted: logEvent(705, 'batch work preempted'),
  placementFailed: logEvent(706, 'placement step failed'),
  jobDiscovered: logEvent(710, 'job discovered'),
  startRejected: logEvent(711, 'start rejected by a worker'),
  workerEntryUnusable: logEvent(712, 'worker entry unusable'),
  leaseAcquired: logEvent(713, 'placement lease acquired'),
  taskStarted: logEvent(714, 'task start sent'),
  taskEnded: logEvent(715, 'task ended'),
  waveCompleted: logEvent(716, 'maintenance wave completed'),
  instanceMoveCommanded: logEvent(717, 'instance move commanded'),
  runReplaced: logEvent(718, 'run stopped in favour of another'),
  workerQuarantined: logEvent(719, 'worker quarantined after failures'),
  rulesApplied: logEvent(720, 'fleet rules in force'),
  operatorRowUnusable: logEvent(721, 'operator row unusable'),
  operatorEntriesUnusable: logEvent(725, 'operator entries unusable'),
  workerReportUnusable: logEvent(726, 'worker report unusable in part'),
  jobRowUnusable: logEvent(727, 'job row unusable'),
  waveProgress: logEvent(728, 'maintenance wave in progress'),
  storeReachable: logEvent(722, 'store reachable'),
  storeUnreachable: logEvent(723, 'store unreachable'),
  poolSummary: logEvent(724, 'pool summary'),
  jobAccepted: logEvent(730, 'job accepted'),
  jobRejected: logEvent(731, 'job rejected'),
  settingsReloaded: logEvent(732, 'settings file read again'),
  memberRegistered: logEvent(500, 'member registered'),
  memberActive: logEvent(501, 'member active'),
  memberFenced: logEvent(502, 'member fenced'),
  registrationLost: logEvent(503, 'registration lost'),
  memberIdInUse: logEvent(504, 'member id in use'),
  fenceWithheld: logEvent(505, 'fence withheld'),
} as const satisfies Record<string, LogEvent>;
