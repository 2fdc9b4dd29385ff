import type { CooperativeFleet } from "../testing/platform/cooperativeFleet.js";
import type { IncompleteCause } from "./incompleteCause.js";
import type { IncompleteRequest } from "./incompleteRequest.js";

/** What the fleet has recorded of instances, links and targets. */
interface CauseRecords extends Pick<CooperativeFleet, "impairments" | "stopTimeoutMs"> {
    readonly targets: readonly { readonly target: { readonly brokenRequests: ReadonlySet<string>; }; }[];
}

/** A closing connection can cross a request for this long. */
const CROSSING_MS = 200;
/** A request that is sent later than this after the signal to stop must end before the process does. */
const EARLY_MS = 3000;
/** Callers use the addresses that they know for a while, so that a stopping instance listens for this share of the time to stop. */
const LINGER_SHARE = 3 / 4;
/** A target that is still at work after this share of the time to stop excuses a request that was sent earlier. */
const STOP_SHARE = 5 / 6;

/**
 * Finds the one recorded cause that explains why a request got no whole response, the first that applies of: the caller, the
 * instance, the targets, the links on the way, a planned stop. Returns `undefined` if nothing explains it.
 *
 * @param arrivedAt Identifiers of the targets that ran the request.
 */
export function findCause(
    fleet: CauseRecords,
    request: IncompleteRequest,
    arrivedAt: readonly string[],
): IncompleteCause | undefined {
    const { impairments, targets, stopTimeoutMs } = fleet;
    const { requestId, route, host, sentAt, endedAt, deadline, errorCode, isReused } = request;
    if (endedAt >= deadline) {
        return "deadline";
    }
    const stop = impairments.find(`stop ${host}`, sentAt, endedAt);
    const down = impairments.find(host, sentAt, endedAt);
    if (errorCode === "ECONNREFUSED") {
        const isEnded = down ?? impairments.find(`ended ${host}`, sentAt, endedAt);
        // A busy caller opens the connection later than it says.
        const isClosing = stop !== undefined && endedAt > stop.from + stopTimeoutMs * LINGER_SHARE;
        return isEnded ? "away" : isClosing ? "closing" : undefined;
    }
    if (down) {
        return down.kind === "paused" ? "paused" : "killed";
    }
    if (targets.some(({ target }) => target.brokenRequests.has(requestId))) {
        return "target";
    }
    const services = route === "stream" || route === "once" ? ["engine"] : ["plain", "spare"];
    // A request that no target has got may have been on its way to any target of its service.
    const links = arrivedAt.length > 0 ? arrivedAt : services;
    if (links.some(name => impairments.find(`link ${name}`, sentAt, endedAt))) {
        return "link";
    }
    const isAtEndOfStop = stop !== undefined && sentAt <= stop.from + EARLY_MS
        && endedAt >= stop.from + stopTimeoutMs * STOP_SHARE;
    if (arrivedAt.length > 0) {
        return isAtEndOfStop ? "stop-timeout" : undefined;
    }
    if (impairments.find(`taken ${host}`, sentAt, endedAt)) {
        return "taken";
    }
    if (endedAt >= sentAt + CROSSING_MS) {
        return undefined;
    }
    // The instance cannot know of a request that its caller writes while it closes an idle connection.
    if (isReused) {
        return "crossed";
    }
    // The kernel may accept a connection between the instance's last look at the queue and the close of the listening socket.
    return stop && endedAt > stop.from + stopTimeoutMs * LINGER_SHARE ? "queued" : undefined;
}
