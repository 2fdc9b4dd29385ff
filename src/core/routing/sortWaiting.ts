import type { ServiceReturns } from "../returns/serviceReturns.js";
import type { AccountUsage } from "./accountUsage.js";
import type { WaitingRequest } from "./waitingRequest.js";

/**
 * Requests attempted before come first, then streams that callers take up, whose callers have waited already, then the
 * requests of accounts with the lowest recent usage, then those of the highest rank, then the
 * oldest.
 */
export function sortWaiting(
    waiting: readonly WaitingRequest[],
    usage: AccountUsage,
    now: number,
    returns: Pick<ServiceReturns, "getRank">,
): readonly WaitingRequest[] {
    const granted = new Map<string, number>();
    for (const { request } of waiting) {
        if (!granted.has(request.account)) {
            granted.set(request.account, usage.getGranted(request.account, now));
        }
    }
    return [...waiting].sort((a, b) =>
        Number(b.isResume) - Number(a.isResume)
        || Number(b.request.origin !== undefined) - Number(a.request.origin !== undefined)
        || (granted.get(a.request.account) ?? 0) - (granted.get(b.request.account) ?? 0)
        || returns.getRank(b, now) - returns.getRank(a, now)
        || a.request.receivedAt - b.request.receivedAt
    );
}
