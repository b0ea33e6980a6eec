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
  requestRefused: logEvent(200, 'request refused'),
  requestFailed: logEvent(201, 'request failed'),
  attemptFailed: logEvent(202, 'attempt failed'),
  configurationApplied: logEvent(300, 'configuration applied'),
  configurationStale: logEvent(301, 'configuration stale'),
  tableUnavailable: logEvent(400, 'table service unavailable'),
  placementHeld: logEvent(700, 'placement role held'),
  placementLost: logEvent(701, 'placement role lost'),
  jobEnded: logEvent(702, 'job ended'),
  jobRetried: logEvent(703, 'job retried'),
  workerSuspended: logEvent(704, 'worker taken out of placement'),
  batchWorkPreempted: logEvent(705, 'batch work preempted'),
  placementFailed: logEvent(706, 'placement step failed'),
  memberRegistered: logEvent(500, 'member registered'),
  memberActive: logEvent(501, 'member active'),
  memberFenced: logEvent(502, 'member fenced'),
  registrationLost: logEvent(503, 'registration lost'),
  memberIdInUse: logEvent(504, 'member id in use'),
  fenceWithheld: logEvent(505, 'fence withheld'),
} as const satisfies Record<string, LogEvent>;
