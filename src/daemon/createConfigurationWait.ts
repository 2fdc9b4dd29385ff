import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonContext } from "./daemonContext.js";

/** A daemon that starts has its configuration from a peer or the platform well within this time. */
const CONFIGURATION_WAIT_MS = 5000;

/**
 * Returns a function that waits until a configuration is in force, for a bounded time. Entries answers may name an
 * instance that was replaced a moment ago; its first callers wait instead of being refused.
 */
export function createConfigurationWait(
    context: Pick<DaemonContext, "getView" | "subscribeView">,
): () => Promise<void> {
    const configured = new Promise<void>(resolve => {
        context.subscribeView(view => {
            if (view.index) {
                resolve();
            }
        });
    });
    return async () => {
        if (!context.getView().index) {
            await Promise.race([configured, sleep(CONFIGURATION_WAIT_MS, undefined, { ref: false })]);
        }
    };
}
