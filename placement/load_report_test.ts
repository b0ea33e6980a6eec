/** Guards against a report from which a shortage of the leader's processor cannot be told from one of workers. */
import { LoadReport } from './load_report';

test('the report counts the reasons of one interval only', () => {
  const report = new LoadReport();
  report.take(100, 1_000);
  report.recordPass(40);
  report.recordPass(-1);
  report.recordStart();
  report.recordRunEnd();
  report.recordHeld('p', 'starts');
  report.recordHeld('p', 'room');
  report.recordHeld('p', 'starts');
  report.recordJobEnd('q', true);
  report.recordJobEnd('q', false);
  expect(report.take(600, 2_000)).toEqual({
    processorShare: 0.5,
    meanDelayMs: 20,
    passes: 2,
    starts: 1,
    ends: 1,
    jobs: { q: { onTime: 1, late: 1 } },
    passesHeld: { p: { starts: 2, room: 1 } },
  });
  expect(report.take(600, 3_000)).toMatchObject({ processorShare: 0, starts: 0, jobs: {}, passesHeld: {} });
});
