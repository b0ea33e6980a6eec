/** Counters and the process's resource usage, as text for a metrics collector. */
import { MemoryCounters, type Counters } from './counters';

/**
 * Returns one line per counter, in the exposition format of Prometheus.
 *
 * @example
 * ```ts
 * metricsText(counters); // 'endivestand_jobs_accepted{reason="new"} 3\n...'
 * ```
 */
export function metricsText(counters: Counters): string {
  const counts = counters instanceof MemoryCounters ? counters.snapshot() : new Map<string, number>();
  const lines = [...counts].map(([key, value]) => `${metricName(key)} ${value}`);
  const { rss } = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return [
    ...lines,
    `endivestand_process_resident_bytes ${rss}`,
    `endivestand_process_cpu_seconds ${((user + system) / 1e6).toFixed(3)}`,
    '',
  ].join('\n');
}

/** Keys are `name` or `name:reason`. */
function metricName(key: string): string {
  const [name = '', reason] = key.split(':');
  const label = reason === undefined ? '' : `{reason="${reason}"}`;
  return `endivestand_${name.replaceAll('.', '_')}${label}`;
}
