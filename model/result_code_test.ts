import { readMarkdownTable } from '../telemetry/_markdown_table';
import { RESULT_CODES } from './result_code';

describe('result codes', () => {
  test('docs/result-codes.md lists exactly the codes of the program', () => {
    const documented = readMarkdownTable('docs/result-codes.md').map((row) => row.slice(0, 4).join(' | '));
    const defined = Object.values(RESULT_CODES).map(
      ({ code, name, httpStatus, title }) => `${code} | ${name} | ${httpStatus} | ${title}`,
    );
    expect([...documented].sort()).toEqual([...defined].sort());
  });

  test('no number stands for two results', () => {
    const codes = Object.values(RESULT_CODES).map(({ code }) => code);
    expect(new Set(codes).size).toBe(codes.length);
  });
});
