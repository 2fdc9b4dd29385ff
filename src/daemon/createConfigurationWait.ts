import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonContext } from "./daemonContext.js";

/** A starting daemon receives its configuration from a peer or the platform well within this time. */
const MAX_CONFIGURATION_WAIT_MS = 5000;

/**
 * Returns a function that waits for a bounded time until a configuration is in force. A response to
 * `GET /v1/entries` may name an instance that has just been replaced; its first callers wait instead of being refused.
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
            await Promise.race([configured, sleep(MAX_CONFIGURATION_WAIT_MS, undefined, { ref: false })]);
        }
    };
}
