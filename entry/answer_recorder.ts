/** Passes an answer on to the caller while it is recorded for later requests with the same key. */
import { PassThrough, type Readable } from 'node:stream';
import { MAX_RECORDED_BODY_BYTES } from '../dispatch/claim_record';
import type { HeldClaim } from '../dispatch/claims';
import type { TargetResponse } from '../dispatch/dispatcher';

/** Returns the body for the caller. The answer is read to its end even if the caller goes away. */
export function recordAnswer(answer: TargetResponse, claim: HeldClaim): Readable {
  const source = answer.body;
  const output = new PassThrough();
  // The caller may be gone; the record goes on.
  output.on('error', () => undefined);
  const kept = new KeptBody();
  let isComplete = false;
  source.on('data', (chunk: Buffer) => {
    kept.append(chunk);
    if (!output.destroyed && !output.write(chunk)) source.pause();
  });
  output.on('drain', () => source.resume());
  output.on('close', () => source.resume());
  source.once('end', () => {
    isComplete = true;
    const { status, headers } = answer;
    const body = kept.whole();
    claim.complete(body === null ? null : { status, headers, body });
    output.end();
  });
  source.once('close', () => {
    if (isComplete) return;
    claim.markOutcomeUnknown();
    output.destroy(source.errored ?? new Error('The answer ended early.'));
  });
  return output;
}

/** Collects a body up to the size that is recorded. */
class KeptBody {
  private readonly chunks: Buffer[] = [];
  private lengthBytes = 0;

  append(chunk: Buffer): void {
    this.lengthBytes += chunk.byteLength;
    if (this.lengthBytes <= MAX_RECORDED_BODY_BYTES) this.chunks.push(chunk);
    else this.chunks.splice(0);
  }

  /** `null` if the body is too large. */
  whole(): Buffer | null {
    return this.lengthBytes <= MAX_RECORDED_BODY_BYTES ? Buffer.concat(this.chunks) : null;
  }
}
