import type { IncomingMessage, ServerResponse } from "node:http";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { RequestHead } from "./requestHead.js";

/** A completely received request of a caller, and the response object for it. */
export interface CallerExchange {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly head: RequestHead;
    readonly request: RoutedRequest;
    readonly body: Buffer | undefined;
}
