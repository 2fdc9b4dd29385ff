import type { ForwardAttemptOptions } from "./forwardAttemptOptions.js";
import type { OutgoingRequest } from "./outgoingRequest.js";

type RequestSource = Pick<ForwardAttemptOptions, "grant" | "caller" | "response" | "wire" | "getNow">;

/** Builds the request of an attempt as it is sent now: with the time that is left and the last event that the caller has. */
export function buildOutgoingRequest(
    { grant, caller, response, wire, getNow }: RequestSource,
): OutgoingRequest {
    return {
        method: caller.incoming.method ?? "GET",
        path: caller.incoming.url ?? "/",
        body: caller.body,
        headers: wire.buildTargetHeaders({
            requestHead: caller.head,
            account: caller.request.account,
            targetId: grant.target.descriptor.id,
            promptSource: grant.promptSource,
            remainingMs: Math.max(1, Math.floor(caller.request.deadline - getNow())),
            bodyLength: caller.body?.length,
            lastEventId: response.getLastEventId(),
        }),
    };
}
