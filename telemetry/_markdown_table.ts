/** Reads tables of the documentation, for tests that compare them with the code. */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

/** Returns the cells of the rows whose first cell is a number; `path` is relative to the root of the repository. */
export function readMarkdownTable(path: string): readonly (readonly string[])[] {
  return readFileSync(join(__dirname, '..', path), 'utf8')
    .split('\n')
    .filter((line) => /^\|\s*\d+\s*\|/.test(line))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
}
