/** Guards against command lines that are misread instead of rejected. */
import { parseCommandLine, UsageError } from './command_line';
import { renderTable } from './render';

const ENVIRONMENT = { ENDIVESTAND_URL: 'http://a:1,http://b:2', ENDIVESTAND_OPERATOR_TOKEN: 'secret-token' };

describe('parseCommandLine', () => {
  test('reads commands, flags and the environment', () => {
    expect(parseCommandLine(['apply', 'ticket.json', '--dry-run', '--json'], ENVIRONMENT)).toEqual({
      command: { kind: 'apply', file: 'ticket.json', dryRun: true },
      urls: ['http://a:1', 'http://b:2'],
      token: 'secret-token',
      json: true,
    });
  });

  test.each([
    [['ticket', 'show', '1.5']],
    [['ticket', 'show', '-1']],
    [['reboot']],
    [['status', '--dry-run']],
    [[]],
  ])('rejects %j', (args) => {
    expect(() => parseCommandLine(args, ENVIRONMENT)).toThrow(UsageError);
  });

  test('rejects a command line without an entry instance or a token', () => {
    expect(() => parseCommandLine(['status'], {})).toThrow(UsageError);
  });
});

test('tables align columns and show absent values', () => {
  expect(
    renderTable([
      { teamId: 'a', upperLimit: 10 },
      { teamId: 'long', upperLimit: null },
    ]),
  ).toBe('teamId  upperLimit\na       10\nlong    -\n');
});
