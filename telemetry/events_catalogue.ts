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
  targetRefused: logEvent(220, 'target refused a connection'),
  targetEjected: logEvent(221, 'target ejected'),
  instanceListUnavailable: logEvent(222, 'instance list unavailable'),
  claimsUnavailable: logEvent(223, 'claims unavailable'),
  claimRecordDelayed: logEvent(224, 'record of a claim delayed'),
  claimsSwept: logEvent(225, 'old claims removed'),
  leavingReportRejected: logEvent(226, 'report of leaving targets rejected'),
  configurationApplied: logEvent(300, 'configuration applied'),
  configurationStale: logEvent(301, 'configuration stale'),
  tableUnavailable: logEvent(400, 'table service unavailable'),
} as const satisfies Record<string, LogEvent>;
