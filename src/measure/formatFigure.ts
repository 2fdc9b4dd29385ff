/** Rounds a figure to a number of decimal places; `undefined` if it is missing or not finite. */
export function formatFigure(value: number | undefined, digits = 3): number | undefined {
    return value === undefined || !Number.isFinite(value) ? undefined : Number(value.toFixed(digits));
}
