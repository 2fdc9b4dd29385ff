import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { ObservedRequest } from "./observedRequest.js";
import type { SoakViolation } from "./soakViolation.js";

interface IncompleteRequest extends ObservedRequest {
    /** HTTP status; 0 if the connection was closed without a byte of a response. */
    readonly status: number;
}

/** A closing connection can cross a request for this long. */
const CROSSING_MS = 200;
/** A request that is sent later than this after the signal to stop must end before the process does. */
const EARLY_MS = 3000;
/** A target that is still at work after this share of the time to stop excuses a request that was sent earlier. */
const STOP_SHARE = 5 / 6;

/**
 * Finds requests that an instance had read and whose connections it closed without a whole answer, although the instance
 * and the links were sound, no target broke the response off and the caller still waited. A planned stop must not cut
 * the responses of requests that were passed on, either.
 */
export function findLostRequests(
    fleet: CooperativeFleet,
    requests: readonly IncompleteRequest[],
): readonly SoakViolation[] {
    const { impairments, targets, stopTimeoutMs } = fleet;
    const arrived = new Set(
        targets.flatMap(({ target }) => target.arrivals.map(arrival => arrival.requestId)),
    );
    return requests.flatMap(({ requestId, route, host, sentAt, endedAt, deadline, status }) => {
        const services = route === "stream" || route === "once" ? ["engine"] : ["plain", "spare"];
        const isExcused = endedAt >= deadline
            || impairments.find(host, sentAt, endedAt) !== undefined
            || services.some(service => impairments.find(`link ${service}`, sentAt, endedAt))
            || targets.some(({ target }) => target.brokenRequests.has(requestId));
        if (isExcused) {
            return [];
        }
        const stop = impairments.find(`stop ${host}`, sentAt, endedAt);
        const isPassedOn = arrived.has(requestId);
        const elapsedMs = (endedAt - sentAt).toFixed(0);
        if (stop) {
            const isLate = sentAt > stop.from + EARLY_MS;
            const isLost = isPassedOn && (isLate || endedAt < stop.from + stopTimeoutMs * STOP_SHARE);
            const sentMs = (sentAt - stop.from).toFixed(0);
            const text = `cut after ${elapsedMs} ms by a planned stop, sent ${sentMs} ms after its signal`;
            return isLost ? [{ rule: "lost-request" as const, subject: requestId, text }] : [];
        }
        if (!isPassedOn && endedAt < sentAt + CROSSING_MS) {
            return [];
        }
        const text = status === 0
            ? `closed without an answer after ${elapsedMs} ms`
            : `answer cut after ${elapsedMs} ms`;
        return [{ rule: "lost-request" as const, subject: requestId, text }];
    });
}
