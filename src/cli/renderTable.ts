/** Renders rows as aligned columns in plain text, the first row being the heading. */
export function renderTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = (rows[0] ?? []).map((_, column) =>
        Math.max(...rows.map(row => (row[column] ?? "").length))
    );
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ").trimEnd());
}
