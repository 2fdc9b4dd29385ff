import { isRefusal } from "./isRefusal.js";
import type { ResponseHead } from "./responseHead.js";

/**
 * Returns whether a response belongs to a request. A refusal may lack an identifier, but not carry another one: on a kept
 * connection, a faulty target may repeat its answer to an earlier request.
 */
export function isAnswerTo(head: ResponseHead, requestId: string): boolean {
    return head.requestId === requestId || (head.requestId === undefined && isRefusal(head));
}
