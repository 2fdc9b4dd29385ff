import { renderTable } from "./renderTable.js";

type Row = Readonly<Record<string, unknown>>;

/** Renders a section of a status report: a list of objects as a table, anything else as JSON. */
export function renderSection(name: string, value: unknown): readonly string[] {
    if (!isTable(value)) {
        return [`${name}: ${JSON.stringify(value)}`];
    }
    const fields = [...new Set(value.flatMap(row => Object.keys(row)))];
    const heading = fields.map(field => field.toUpperCase());
    return [
        `${name}:`,
        ...renderTable([heading, ...value.map(row => fields.map(field => formatCell(row[field])))]),
    ];
}

function isTable(value: unknown): value is readonly Row[] {
    return Array.isArray(value) && value.length > 0
        && value.every(row => typeof row === "object" && row !== null && !Array.isArray(row));
}

function formatCell(value: unknown): string {
    if (value === undefined || value === null) {
        return "-";
    }
    return typeof value === "string" ? value : JSON.stringify(value);
}
