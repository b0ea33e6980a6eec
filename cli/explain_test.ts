/** Guards against explanations that miss an event of the request or fail on damaged logs. */
import { explainRequest, renderExplanation } from './explain';

const JOB = '5c0e7a21d94b36f8';

function logLine(time: number, hostname: string, eventId: number, fields: object = {}): string {
  return JSON.stringify({ level: 30, time, pid: 1, hostname, eventId, ...fields, msg: `event ${eventId}` });
}

const LOG = [
  logLine(9_000, 'front-2', 714, { jobId: JOB, run: 1, workerId: 'w1' }),
  logLine(1_000, 'front-1', 723),
  logLine(8_500, 'front-1', 730, { jobId: JOB, isNew: true }),
  `  12.5 front-2 ${logLine(8_700, 'front-2', 710, { jobId: JOB })}`,
  logLine(8_650, 'front-2', 713, { epoch: 3 }),
  logLine(8_800, 'front-2', 714, { jobId: 'another', workerId: 'w2' }),
  `{"level":30,"time":9000,"jobId":"${JOB}"`,
  'not a log line',
  '',
];

test('an explanation lists the events of the request and the context events near them, in chronological order', () => {
  const { lines, unreadable } = explainRequest(JOB, LOG);
  expect(lines.map(({ eventId }) => eventId)).toEqual([730, 713, 710, 714]);
  expect(unreadable).toBe(2);
});

test('the table shows process, event and details, and marks context events', () => {
  const text = renderExplanation(explainRequest(JOB, LOG));
  expect(text).toContain('(context) epoch=3');
  expect(text).toContain('run=1 workerId=w1');
  expect(text).toContain('2 lines could not be read');
});

test('a request that no line contains is reported as unknown', () => {
  expect(renderExplanation(explainRequest('ffffffffffffffff', LOG))).toContain('No log line contains');
});
