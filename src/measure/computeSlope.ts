/** Computes the slope of the ordinary least-squares line; 0 if all points have the same x or there are none. */
export function computeSlope(points: readonly (readonly [x: number, y: number])[]): number {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return variance > 0 ? covariance / variance : 0;
}
