import type { ResponseHead } from "./responseHead.js";

/** Returns whether a response states that its target has not executed the request. */
export function isRefusal(head: ResponseHead): boolean {
    return head.isMisdirected || head.isNotExecuted;
}
