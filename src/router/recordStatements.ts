import type { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { TargetGrant } from "../core/routing/targetGrant.js";
import type { TargetNotices } from "../core/routing/targetNotices.js";
import { isRefusal } from "./isRefusal.js";
import type { ResponseHead } from "./responseHead.js";

interface StatementRecords {
    readonly grant: TargetGrant;
    readonly limits: RequestLimiter;
    readonly notices: TargetNotices;
    readonly getNow: () => number;
}

const OK = 200;

/**
 * Records what a target says of itself in the head of a response, unless another target has answered. What restricts requests
 * is taken from refusals that may not be meant for the request, too: it ends by itself.
 */
export function recordStatements(
    { grant, limits, notices, getNow }: StatementRecords,
    head: ResponseHead,
    status: number,
): void {
    if (head.isMisdirected) {
        return;
    }
    grant.target.recordLoad(head.load, getNow());
    notices.observe(grant.target.descriptor, head.notice, getNow());
    // Only a success shows that the limit is lifted: responses to failures may come from before it was named.
    if (head.requestLimit.kind !== "none" || (status === OK && !isRefusal(head))) {
        limits.observe(grant.target.descriptor.id, head.requestLimit, grant.grantedAt, getNow());
    }
}
