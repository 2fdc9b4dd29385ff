import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import { findCause } from "./findCause.js";
import type { IncompleteCause } from "./incompleteCause.js";
import type { IncompleteRequest } from "./incompleteRequest.js";
import type { SoakViolation } from "./soakViolation.js";

interface LostRequests {
    /** Numbers of the requests without a byte of a response, by the cause that explains them. */
    readonly causes: Readonly<Partial<Record<IncompleteCause, number>>>;
    readonly violations: readonly SoakViolation[];
}

/** Connections that the close of a listening socket may reset in one stop. */
const MAX_QUEUED = 1;

/**
 * Finds requests whose connections an instance closed without a whole answer for no recorded cause. One that targets ran,
 * or whose response had begun, is lost; any other is unanswered.
 */
export function findLostRequests(
    fleet: CooperativeFleet,
    requests: readonly IncompleteRequest[],
): LostRequests {
    const arrivedAt = new Map<string, string[]>();
    for (const { target } of fleet.targets) {
        for (const { requestId } of target.arrivals) {
            arrivedAt.set(requestId, [...arrivedAt.get(requestId) ?? [], target.id]);
        }
    }
    const causes = new Map<IncompleteCause, number>();
    const violations: SoakViolation[] = [];
    const queued = new Map<unknown, number>();
    for (const request of requests) {
        const { requestId, status } = request;
        const targetIds = arrivedAt.get(requestId) ?? [];
        const cause = findCause(fleet, request, targetIds);
        const stop = fleet.impairments.find(`stop ${request.host}`, request.sentAt, request.endedAt);
        if (cause === "queued") {
            queued.set(stop, (queued.get(stop) ?? 0) + 1);
        }
        if (cause === undefined || (cause === "queued" && (queued.get(stop) ?? 0) > MAX_QUEUED)) {
            const isLost = targetIds.length > 0 || status !== 0;
            const text = describeRequest(fleet, request);
            violations.push({ rule: isLost ? "lost-request" : "unanswered", subject: requestId, text });
        }
        else if (status === 0) {
            causes.set(cause, (causes.get(cause) ?? 0) + 1);
        }
    }
    return { causes: Object.fromEntries(causes), violations };
}

function describeRequest(
    { impairments }: CooperativeFleet,
    { host, route, sentAt, endedAt, status, errorCode = "", isReused }: IncompleteRequest,
): string {
    const what = status === 0 ? `closed without an answer (${errorCode})` : "answer cut";
    const connection = `${isReused ? "kept" : "new"} connection to ${host}`;
    const stop = impairments.find(`stop ${host}`, sentAt, endedAt);
    const sent = stop
        ? `, sent ${(sentAt - stop.from).toFixed(0)} ms after the signal of a planned stop`
        : "";
    return `${route} ${what} after ${(endedAt - sentAt).toFixed(0)} ms on a ${connection}${sent}`;
}
