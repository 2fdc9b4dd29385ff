import { isRefusal } from "./isRefusal.js";
import type { ResponseHead } from "./responseHead.js";

/**
 * Finds what a response says about the request that is being sent on its connection. On a connection that has carried other
 * requests, a faulty target may repeat its answer to one of them, so that an answer needs the request's identifier. A refusal
 * may lack it, but then it is certain only if it arrives on a connection that has carried no other request.
 */
export function findAnswerKind(
    head: ResponseHead,
    requestId: string,
    isFirstOnConnection: boolean,
): "answer" | "refusal" | "doubtful-refusal" | "mismatched" {
    const { requestId: answeredId } = head;
    if (answeredId === requestId) {
        return isRefusal(head) ? "refusal" : "answer";
    }
    if (answeredId !== undefined || !isRefusal(head)) {
        return "mismatched";
    }
    return isFirstOnConnection ? "refusal" : "doubtful-refusal";
}
