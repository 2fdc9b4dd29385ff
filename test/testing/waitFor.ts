import { setTimeout as delay } from "node:timers/promises";

/** Polls until a condition holds; the test's own time limit ends a wait that never succeeds. */
export async function waitFor(isMet: () => boolean): Promise<void> {
    while (!isMet()) {
        await delay(2);
    }
}
