/** Rounds a figure to what a reader needs; `undefined` stays. */
export function formatFigure(value: number | undefined, digits = 3): number | undefined {
    return value === undefined || !Number.isFinite(value) ? undefined : Number(value.toFixed(digits));
}
