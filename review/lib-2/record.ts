/** What a case has sent, answered and run, with the time since its beginning. */
import { appendFileSync, writeFileSync } from 'node:fs';

export class CaseRecord {
  private readonly beganAtMs = performance.now();

  constructor(private readonly file: string) {
    writeFileSync(file, '');
  }

  nowMs(): number {
    return Math.round(performance.now() - this.beganAtMs);
  }

  write(text: string): void {
    appendFileSync(this.file, `${(this.nowMs() / 1_000).toFixed(3).padStart(8)} ${text}\n`);
  }
}
