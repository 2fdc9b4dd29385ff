/** Slope of the least-squares line through points. 0 for fewer than two points. */
export function computeSlope(points: readonly (readonly [x: number, y: number])[]): number {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return variance > 0 ? covariance / variance : 0;
}
