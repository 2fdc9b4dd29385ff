import { buildCallerHeaders } from "../../../src/testing/platform/buildCallerHeaders.js";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import { sendCaller } from "../../../src/testing/sendCaller.js";

let requestCount = 0;

/** Sends a request to an instance of a fleet, by default the first; paths that begin with /stream or /once name routes to engines. */
export function sendToFleet(
    fleet: CooperativeFleet,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    instanceIndex = 0,
    body = "question",
): ReturnType<typeof sendCaller> {
    const instance = fleet.instances[instanceIndex];
    if (!instance) {
        throw new Error(`The fleet has no instance ${instanceIndex}.`);
    }
    requestCount += 1;
    const isStream = path.startsWith("/stream") || path.startsWith("/once");
    return sendCaller(`${fleet.getUrls(instance).callers}${path}`, {
        method: "POST",
        headers: {
            ...buildCallerHeaders({
                requestId: `request-${requestCount}`,
                patienceMs: 4000,
                ...(isStream ? { engine: { key: fleet.key, sharedPart: "a" } } : {}),
            }),
            ...headers,
        },
        body,
    });
}
