/** Guards against counters that are missing from the metrics text or lose their reason. */
import { MemoryCounters } from './counters';
import { metricsText } from './metrics_text';

test('counters appear with their reason as a label', () => {
  const counters = new MemoryCounters();
  counters.increment('calls.refused', 'bad_body', 2);
  counters.increment('placement.started');
  const lines = metricsText(counters).split('\n');
  expect(lines).toContain('endivestand_calls_refused{reason="bad_body"} 2');
  expect(lines).toContain('endivestand_placement_started 1');
});
