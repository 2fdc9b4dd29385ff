import type { ActiveRequests } from "./activeRequests.js";
import type { Ingress } from "./ingress.js";
import { waitForRequests } from "./waitForRequests.js";

/** Part of the margin before the end of a stop in which the last responses reach their callers. */
const LAST_RESPONSES_MS = 100;

/** Gives the requests that are open at the end of a stop a response, as far as they can get one, before connections close. */
export async function endOpenRequests(
    activeRequests: ActiveRequests,
    ingress: Ingress | undefined,
    getNow: () => number,
): Promise<void> {
    ingress?.refuseUnserved();
    activeRequests.stop();
    const now = getNow();
    await waitForRequests({
        lingerUntil: now,
        stopBy: now + LAST_RESPONSES_MS,
        countActive: () => ingress?.openRequests ?? 0,
        getNow,
    });
    ingress?.abortOpenRequests();
}
