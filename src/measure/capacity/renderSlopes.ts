import { computeLine } from "./computeLine.js";
import type { SlopeSeries } from "./slopeSeries.js";

const DIGITS = 4;

/** Renders series as a Markdown table with the least-squares line of each. */
export function renderSlopes(series: readonly SlopeSeries[]): string {
    const rows = series.map(({ name, per, unit, method, points }) => {
        const { slope, intercept, residual } = computeLine(points);
        const measured = points.map(([size, value]) => `${formatNumber(size)}: ${formatNumber(value)}`).join(
            ", ",
        );
        return `| ${name} | ${method} | ${unit} | ${per} | ${formatNumber(slope)} | ${
            formatNumber(intercept)
        } | ${formatNumber(residual)} | ${measured} |`;
    });
    return [
        "| quantity | method | unit | per | slope | intercept | residual | points |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        ...rows,
    ].join("\n");
}

function formatNumber(value: number): string {
    return String(Number(value.toPrecision(DIGITS)));
}
