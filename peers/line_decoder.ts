/** Splits a byte stream into lines of bounded length. */

/** Maximum length of a line, in bytes without the newline. */
export const MAX_LINE_BYTES = 64 * 1024;

/** A line exceeds the maximum length; the rest of the stream cannot be decoded. */
export class LineTooLongError extends Error {
  override readonly name = 'LineTooLongError';
}

const NEWLINE = 0x0a;

/**
 * Collects bytes until a line is complete.
 *
 * @example
 * ```ts
 * const decoder = new LineDecoder();
 * decoder.push(Buffer.from('{"a":1}\n{"b"')); // ['{"a":1}']
 * ```
 */
export class LineDecoder {
  private pendingParts: readonly Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly maxLineBytes = MAX_LINE_BYTES) {}

  /** Returns the lines that `chunk` completes. Throws {@link LineTooLongError}. */
  push(chunk: Buffer): readonly string[] {
    const lines: string[] = [];
    let from = 0;
    for (let end = chunk.indexOf(NEWLINE); end !== -1; end = chunk.indexOf(NEWLINE, from)) {
      this.append(chunk.subarray(from, end));
      lines.push(Buffer.concat(this.pendingParts).toString('utf8'));
      this.pendingParts = [];
      this.pendingBytes = 0;
      from = end + 1;
    }
    this.append(chunk.subarray(from));
    return lines;
  }

  private append(part: Buffer): void {
    if (part.length === 0) return;
    this.pendingBytes += part.length;
    if (this.pendingBytes > this.maxLineBytes) {
      throw new LineTooLongError(`A line is longer than ${this.maxLineBytes} bytes.`);
    }
    this.pendingParts = [...this.pendingParts, part];
  }
}
