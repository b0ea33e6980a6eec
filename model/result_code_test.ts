/** Guards against result codes that the documentation lacks or misstates, and against numbers used twice. */
import { readMarkdownTable } from '../telemetry/_markdown_table';
import { RESULT_CODES } from './result_code';

describe('result codes', () => {
  test('docs/result-codes.md lists exactly the result codes of the implementation', () => {
    const documented = readMarkdownTable('docs/result-codes.md').map((row) => row.slice(0, 4).join(' | '));
    const defined = Object.values(RESULT_CODES).map(
      ({ code, name, httpStatus, title }) => `${code} | ${name} | ${httpStatus} | ${title}`,
    );
    expect([...documented].sort()).toEqual([...defined].sort());
  });

  test('no two results have the same number', () => {
    const codes = Object.values(RESULT_CODES).map(({ code }) => code);
    expect(new Set(codes).size).toBe(codes.length);
  });
});
