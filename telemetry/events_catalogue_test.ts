/** Guards against log events that the documentation lacks or misstates, and against ids used twice. */
import { readMarkdownTable } from './_markdown_table';
import { LOG_EVENTS } from './events_catalogue';

describe('log events', () => {
  test('docs/events.md lists exactly the events of the implementation', () => {
    const documented = readMarkdownTable('docs/events.md').map((row) => row.slice(0, 2).join(' | '));
    const defined = Object.values(LOG_EVENTS).map(({ id, name }) => `${id} | ${name}`);
    expect([...documented].sort()).toEqual([...defined].sort());
  });

  test('no two events have the same id', () => {
    const ids = Object.values(LOG_EVENTS).map(({ id }) => id);
    expect(new Set(ids).size).toBe(ids.length);
  });
});
