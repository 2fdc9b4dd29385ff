/** Resolves after a number of milliseconds. */
export function waitMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
