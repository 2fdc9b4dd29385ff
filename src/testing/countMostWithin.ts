/** Returns the largest number of the given times, sorted ascending, that lie within a window of this length. */
export function countMostWithin(times: readonly number[], windowMs: number): number {
    let most = 0;
    let first = 0;
    times.forEach((time, i) => {
        while ((times[first] ?? time) <= time - windowMs) {
            first += 1;
        }
        most = Math.max(most, i - first + 1);
    });
    return most;
}
