/** Reads log files line by line and writes a report page. */
import { createReadStream } from 'node:fs';
import { stat, writeFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';
import { SingleBar } from 'cli-progress';
import { DaySummaryCollector } from './day_summary';
import { renderReport } from './report_page';

/**
 * Resolves to the text to print. Shows a progress bar on standard error if that is a
 * terminal. Throws the errors of the file system.
 */
export async function writeReport(files: readonly string[], output: string): Promise<string> {
  const sizes = await Promise.all(files.map(async (file) => (await stat(file)).size));
  const totalBytes = sizes.reduce((sum, size) => sum + size, 0);
  const bar = new SingleBar({ stream: process.stderr, clearOnComplete: true, noTTYOutput: false });
  if (process.stderr.isTTY) bar.start(totalBytes, 0);
  const collector = new DaySummaryCollector();
  let readBytes = 0;
  for (const file of files) {
    const stream = createReadStream(file);
    stream.on('data', (chunk) => {
      readBytes += chunk.length;
      if (process.stderr.isTTY) bar.update(readBytes);
    });
    for await (const line of createInterface({ input: stream, crlfDelay: Infinity })) collector.add(line);
  }
  bar.stop();
  const summary = collector.summary();
  await writeFile(output, renderReport(summary));
  return `${summary.lines} lines read (${summary.unreadable} unreadable), report written to ${output}.\n`;
}
