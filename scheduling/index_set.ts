/** Compact encoding of sets of small numbers as hexadecimal digits, of which each holds four numbers. */

const DIGIT_BITS = 4;

/** At most 8,000 numbers. */
export const INDEXES_PATTERN = /^[0-9a-f]{0,2000}$/;

/**
 * @example
 * ```ts
 * encodeIndexes([0, 1, 5]); // '32'
 * ```
 */
export function encodeIndexes(indexes: readonly number[]): string {
  const digits: number[] = [];
  for (const index of indexes) {
    const position = Math.floor(index / DIGIT_BITS);
    while (digits.length <= position) digits.push(0);
    digits[position] = (digits[position] ?? 0) | (1 << (index % DIGIT_BITS));
  }
  return digits.map((digit) => digit.toString(16)).join('');
}

/**
 * @example
 * ```ts
 * decodeIndexes('32'); // [0, 1, 5]
 * ```
 */
export function decodeIndexes(digits: string): readonly number[] {
  const indexes: number[] = [];
  for (const [position, digit] of Array.from(digits).entries())
    for (let bit = 0; bit < DIGIT_BITS; bit += 1)
      if ((parseInt(digit, 16) & (1 << bit)) !== 0) indexes.push(position * DIGIT_BITS + bit);
  return indexes;
}
