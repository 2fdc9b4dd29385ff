/** Lets the experiment run for a time in milliseconds. */
export function waitMs(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
