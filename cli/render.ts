/** Renders values as plain text for operators. */

type Fields = Readonly<Record<string, unknown>>;

/** Renders objects as rows of aligned columns; the columns are the fields of the first object. */
export function renderTable(objects: readonly Fields[]): string {
  const [first] = objects;
  if (first === undefined) return '(none)\n';
  const columns = Object.keys(first);
  const rows = [columns, ...objects.map((object) => columns.map((column) => renderValue(object[column])))];
  const widths = columns.map((_, index) => Math.max(...rows.map((row) => row[index]?.length ?? 0)));
  const lines = rows.map((row) =>
    row
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}

/** Renders one line per field. */
export function renderFields(fields: Fields): string {
  const width = Math.max(...Object.keys(fields).map((name) => name.length));
  return Object.entries(fields)
    .map(([name, value]) => `${name.padEnd(width)}  ${renderValue(value)}\n`)
    .join('');
}

function renderValue(value: unknown): string {
  if (value === null || value === undefined) return '-';
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return value.length === 0 ? '-' : value.map(renderValue).join(',');
  return JSON.stringify(value);
}
