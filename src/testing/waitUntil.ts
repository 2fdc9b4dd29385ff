const POLL_MS = 20;

/**
 * Waits until a condition holds.
 *
 * @param description What is waited for, for the error.
 * @throws Error when the condition does not hold within `timeoutMs` milliseconds.
 */
export async function waitUntil(
    description: string,
    condition: () => boolean | Promise<boolean>,
    timeoutMs = 20_000,
): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!await condition()) {
        if (performance.now() > deadline) {
            throw new Error(`Timed out after ${timeoutMs} ms: ${description}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
