import type { IncomingMessage, ServerResponse } from "node:http";
import type { RoutedRequest } from "../core/routing/routedRequest.js";
import type { RequestFacts } from "./requestFacts.js";

/** A completely received request of a caller, and the response object for it. */
export interface CallerExchange {
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly facts: RequestFacts;
    readonly request: RoutedRequest;
    readonly body: Buffer | undefined;
}
