import { buildCallerHeaders } from "./platform/buildCallerHeaders.js";
import type { sendLoad } from "./sendLoad.js";

const PATIENCE_MS = 3000;

/**
 * Builds a load of streams of one account with one shared part, whose callers wait for three seconds.
 *
 * @param name Begins the identifiers of the requests.
 */
export function buildStreamLoad(
    name: string,
    key: string,
): Pick<Parameters<typeof sendLoad>[1], "giveUpMs" | "path" | "buildHeaders"> {
    return {
        giveUpMs: PATIENCE_MS,
        path: "/stream/x",
        buildHeaders: index =>
            buildCallerHeaders({
                requestId: `${name}-${index}`,
                patienceMs: PATIENCE_MS,
                engine: { key, sharedPart: `shared-${key}` },
            }),
    };
}
