import { computeSlope } from "../computeSlope.js";

interface LineFit {
    readonly slope: number;
    readonly intercept: number;
    /** Root mean square distance of the points from the line, in the unit of y. */
    readonly residual: number;
}

/** Fits a line through points by ordinary least squares. */
export function computeLine(points: readonly (readonly [x: number, y: number])[]): LineFit {
    const slope = computeSlope(points);
    const intercept = points.reduce((sum, [x, y]) => sum + y - slope * x, 0) / points.length;
    const squares = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
    return { slope, intercept, residual: Math.sqrt(squares / points.length) };
}
