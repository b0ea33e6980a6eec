/**
 * Measures the latency that an entry instance adds to a direct call of a target,
 * and the resources that an idle entry instance uses, for several numbers of
 * entry instances. Runs real processes on the loopback interface.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { demoTicket, DEMO_KEY } from '../demo/demo_ticket';
import { Deployment, OPERATOR_TOKEN, sendJson } from '../demo/deployment';
import type { ProcessUsage } from '../entry/process_usage';
import { runHttpLoad, type HttpLoadResult } from './_http_load';

const { values } = parseArgs({
  options: {
    entries: { type: 'string', default: '3,6,9' },
    requests: { type: 'string', default: '6000' },
    concurrency: { type: 'string', default: '32' },
    'idle-s': { type: 'string', default: '20' },
    /** Time between the first ticket and the idle measurement, in which JIT compilation completes. */
    'settle-s': { type: 'string', default: '15' },
    json: { type: 'boolean', default: false },
  },
});

/** Mean resource use of one idle entry instance. */
interface IdleCost {
  /** CPU time in percent of a core. */
  readonly cpuPercent: number;
  readonly residentMb: number;
  /** Bytes per second to and from the table service. */
  readonly tableBytesPerS: number;
  readonly tableReadsPerS: number;
  readonly tableTransactionsPerS: number;
  /** Bytes per second sent to and received from peers. */
  readonly peerBytesPerS: number;
}

interface Row {
  /** Number of entry instances. */
  readonly entries: number;
  /** Load that goes to the workers directly. */
  readonly direct: HttpLoadResult;
  /** Load that goes through the entry instances. */
  readonly through: HttpLoadResult;
  readonly idle: IdleCost;
  /** Mean resident memory of an entry instance after the load. */
  readonly loadedResidentMb: number;
}

/** Counters of one entry instance since its start. */
interface EntrySample {
  readonly usage: ProcessUsage;
  readonly peerBytes: number;
}

/** Counters of the table service since its start. */
interface TableSample {
  readonly reads: number;
  readonly transactions: number;
  readonly bytes: number;
}

async function sampleEntries(deployment: Deployment): Promise<readonly EntrySample[]> {
  const responses = await Promise.all(
    deployment.entryInstances.map((_, index) =>
      sendJson(`${deployment.operatorUrl(index)}/v1/status`, 'GET', OPERATOR_TOKEN),
    ),
  );
  return responses.map(({ body }) => {
    const counters = body.counters as Readonly<Record<string, number>>;
    const peerBytes = (counters['peers.sent_bytes'] ?? 0) + (counters['peers.received_bytes'] ?? 0);
    return { usage: body.process as ProcessUsage, peerBytes };
  });
}

async function sampleTable(deployment: Deployment): Promise<TableSample> {
  const { body } = await sendJson(`http://127.0.0.1:${deployment.table.port('port')}/stats`, 'GET', '');
  const traffic = body.traffic as { readonly received: number; readonly sent: number };
  return {
    reads: Number(body.reads),
    transactions: Number(body.transactions),
    bytes: traffic.received + traffic.sent,
  };
}

function mean(numbers: readonly number[]): number {
  return numbers.reduce((sum, value) => sum + value, 0) / Math.max(1, numbers.length);
}

async function measureIdle(deployment: Deployment, idleS: number): Promise<IdleCost> {
  const entriesBefore = await sampleEntries(deployment);
  const tableBefore = await sampleTable(deployment);
  await sleep(idleS * 1_000);
  const tableAfter = await sampleTable(deployment);
  const entriesAfter = await sampleEntries(deployment);
  const entryCount = deployment.entryInstances.length;
  const differences = entriesAfter.map((after, index) => {
    const before = entriesBefore[index] ?? after;
    const upMs = Math.max(1, after.usage.upMs - before.usage.upMs);
    return {
      cpuPercent: (100 * (after.usage.cpuMs - before.usage.cpuMs)) / upMs,
      peerBytesPerS: (1_000 * (after.peerBytes - before.peerBytes)) / upMs,
    };
  });
  return {
    cpuPercent: mean(differences.map(({ cpuPercent }) => cpuPercent)),
    residentMb: mean(entriesAfter.map(({ usage }) => usage.residentBytes / 2 ** 20)),
    tableBytesPerS: (tableAfter.bytes - tableBefore.bytes) / idleS / entryCount,
    tableReadsPerS: (tableAfter.reads - tableBefore.reads) / idleS / entryCount,
    tableTransactionsPerS: (tableAfter.transactions - tableBefore.transactions) / idleS / entryCount,
    peerBytesPerS: mean(differences.map(({ peerBytesPerS }) => peerBytesPerS)),
  };
}

async function measure(entries: number): Promise<Row> {
  const deployment = await Deployment.start({ entryInstanceCount: entries, workerCount: 6, serviceMs: 0 });
  try {
    await deployment.applyTicket(demoTicket(deployment, { upperLimit: 1_000, slots: 64 }));
    const load = { requests: Number(values.requests), concurrency: Number(values.concurrency) };
    const workerUrls = deployment.workers.map((worker) => `http://127.0.0.1:${worker.port('port')}`);
    const entryUrls = deployment.entryInstances.map((_, index) => deployment.callerUrl(index));
    const headers = { authorization: `Bearer ${DEMO_KEY}` };
    const path = '/v1/queues/quote/price';
    await sleep(Number(values['settle-s']) * 1_000);
    const idle = await measureIdle(deployment, Number(values['idle-s']));
    // The first run only warms up connections and the JIT compiler and is not reported.
    await runHttpLoad({ ...load, origins: entryUrls, path, headers });
    const direct = await runHttpLoad({ ...load, origins: workerUrls, path: '/price', headers: {} });
    const through = await runHttpLoad({ ...load, origins: entryUrls, path, headers });
    const after = await sampleEntries(deployment);
    const loadedResidentMb = mean(after.map(({ usage }) => usage.residentBytes / 2 ** 20));
    return { entries, direct, through, idle, loadedResidentMb };
  } finally {
    await deployment.stop();
  }
}

function render(row: Row): string {
  const { direct, through, idle } = row;
  return [
    `${row.entries} entry instances`,
    `  direct:  ${direct.requestsPerS.toFixed(0)} requests/s, p50 ${direct.p50Us} us, p99 ${direct.p99Us} us, ${direct.failed} failed`,
    `  through: ${through.requestsPerS.toFixed(0)} requests/s, p50 ${through.p50Us} us, p99 ${through.p99Us} us, ${through.failed} failed`,
    `  added:   p50 ${through.p50Us - direct.p50Us} us, p99 ${through.p99Us - direct.p99Us} us`,
    `  idle:    ${idle.cpuPercent.toFixed(2)}% of a core, ${idle.residentMb.toFixed(0)} MB, table ${idle.tableBytesPerS.toFixed(0)} B/s ` +
      `(${idle.tableReadsPerS.toFixed(2)} reads/s, ${idle.tableTransactionsPerS.toFixed(2)} transactions/s), peers ${idle.peerBytesPerS.toFixed(0)} B/s`,
    `  memory after the load: ${row.loadedResidentMb.toFixed(0)} MB`,
    '',
  ].join('\n');
}

async function main(): Promise<void> {
  const rows: Row[] = [];
  for (const entries of values.entries.split(',').map(Number)) {
    const row = await measure(entries);
    rows.push(row);
    if (!values.json) process.stdout.write(render(row));
  }
  if (values.json) process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
}

void main();
