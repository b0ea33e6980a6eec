/** Forwards a target's response to the caller and records it for later requests with the same idempotency key. */
import { PassThrough, type Readable } from 'node:stream';
import { MAX_RECORDED_BODY_BYTES } from '../dispatch/claim_record';
import type { HeldClaim } from '../dispatch/claims';
import type { TargetResponse } from '../dispatch/dispatcher';

/** Returns the body for the caller. The response is read to its end even if the caller disconnects. */
export function recordResponse(response: TargetResponse, claim: HeldClaim): Readable {
  const source = response.body;
  const output = new PassThrough();
  // The caller may have disconnected; recording continues.
  output.on('error', () => undefined);
  const recorded = new BoundedBody();
  let isComplete = false;
  source.on('data', (chunk: Buffer) => {
    recorded.append(chunk);
    if (!output.destroyed && !output.write(chunk)) source.pause();
  });
  output.on('drain', () => source.resume());
  output.on('close', () => source.resume());
  source.once('end', () => {
    isComplete = true;
    const { status, headers } = response;
    const body = recorded.content();
    claim.complete(body === null ? null : { status, headers, body });
    output.end();
  });
  source.once('close', () => {
    if (isComplete) return;
    claim.markOutcomeUnknown();
    output.destroy(source.errored ?? new Error('The response ended early.'));
  });
  return output;
}

/** Buffers a body of up to {@link MAX_RECORDED_BODY_BYTES}; discards a larger one. */
class BoundedBody {
  private readonly chunks: Buffer[] = [];
  private lengthBytes = 0;

  append(chunk: Buffer): void {
    this.lengthBytes += chunk.byteLength;
    if (this.lengthBytes <= MAX_RECORDED_BODY_BYTES) this.chunks.push(chunk);
    else this.chunks.splice(0);
  }

  /** `null` if the body is too large. */
  content(): Buffer | null {
    return this.lengthBytes <= MAX_RECORDED_BODY_BYTES ? Buffer.concat(this.chunks) : null;
  }
}
