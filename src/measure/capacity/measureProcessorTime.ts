/**
 * Returns the mean processor time of one call in microseconds, including the threads of the runtime.
 *
 * @param seconds Duration of the measured calls, which follow a warm-up of a fifth of it.
 */
export function measureProcessorTime(seconds: number, run: () => void): number {
    runFor(seconds / 5, run);
    const before = process.cpuUsage();
    const count = runFor(seconds, run);
    const { user, system } = process.cpuUsage(before);
    return (user + system) / count;
}

function runFor(seconds: number, run: () => void): number {
    const endsAt = performance.now() + seconds * 1000;
    let count = 0;
    do {
        run();
        count += 1;
    }
    while (performance.now() < endsAt);
    return count;
}
