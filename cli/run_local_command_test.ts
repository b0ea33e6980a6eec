/** Guards against local commands that accept unusable input or require an entry instance. */
import { parseCommandLine, UsageError } from './command_line';
import { UnusableSettingsError } from './node_settings_report';
import { runLocalCommand, UnknownRequestError } from './run_local_command';

const OPTIONS = {
  json: false,
  readFile: () => Promise.resolve('{}'),
  writeFile: () => Promise.resolve(),
};

test.each([
  [['check-settings', 'f'], { kind: 'check_settings', file: 'f' }],
  [['print-settings', 'f'], { kind: 'print_settings', file: 'f' }],
  [['explain', 'id', 'a.log', 'b.log'], { kind: 'explain', requestId: 'id', files: ['a.log', 'b.log'] }],
  [['status', '--store', 'h:1'], { kind: 'store_status', storeAddress: 'h:1' }],
  [['report', 'a.log', 'b.log'], { kind: 'report', files: ['a.log', 'b.log'], output: 'report.html' }],
  [['snapshot', 'save', 'f', '--store', 'h:1'], { kind: 'save_snapshot', storeAddress: 'h:1', file: 'f' }],
])('%j needs neither an entry instance nor a token', (args, command) => {
  expect(parseCommandLine(args, {}).command).toEqual(command);
});

test.each([
  [['check-settings']],
  [['explain', 'id']],
  [['pools', '--store', 'h:1']],
  [['snapshot', 'save', 'f']],
])('rejects %j', (args) => {
  expect(() => parseCommandLine(args, {})).toThrow(UsageError);
});

test('check-settings reports every unusable field', async () => {
  const checked = runLocalCommand({ kind: 'check_settings', file: 'f' }, OPTIONS);
  await expect(checked).rejects.toThrow(UnusableSettingsError);
  await expect(checked).rejects.toThrow(/absent.*\n.*absent/);
});

test('check-settings rejects a truncated file', async () => {
  const options = { ...OPTIONS, readFile: () => Promise.resolve('{"a": ') };
  await expect(runLocalCommand({ kind: 'check_settings', file: 'f' }, options)).rejects.toThrow(
    UnusableSettingsError,
  );
});

test('explain fails for a request that no log contains', async () => {
  const command = { kind: 'explain', requestId: 'id', files: ['f'] } as const;
  await expect(runLocalCommand(command, OPTIONS)).rejects.toThrow(UnknownRequestError);
});
