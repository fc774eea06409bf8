/**
 * Plain-text tables.
 *
 * @module
 */

/** Renders left-aligned columns under their headings. */
export function renderTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [headings, ...rows].map((row) => row.map(renderCell));
  const widths = headings.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0))
  );
  return cells
    .map((row) => renderRow(row, widths))
    .join("\n");
}

function renderCell(value: unknown): string {
  return value === undefined || value === null ? "-" : String(value);
}

function renderRow(
  row: readonly string[],
  widths: readonly number[],
): string {
  return row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join("  ")
    .trimEnd();
}
