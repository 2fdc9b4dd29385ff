import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { abortResponse } from "../shared/abortResponse.js";
import type { ErrorBoundary } from "./errorBoundary.js";

type Handler = (url: URL, response: ServerResponse, incoming: IncomingMessage) => void;

/** Takes the place of the host, which is not looked at. */
const BASE = "http://instance";
const BAD_REQUEST = 400;
const INTERNAL_ERROR = 500;

/**
 * Creates the listener of a server for peers, lookups or operators. A path that is no URL is answered 400; an unexpected error
 * ends the request that caused it with 500, or breaks off the response if that has begun.
 */
export function createGuardedListener(
    errorBoundary: Pick<ErrorBoundary, "run">,
    source: string,
    handle: Handler,
): RequestListener {
    return (incoming, response) => {
        const path = incoming.url ?? "/";
        if (!URL.canParse(path, BASE)) {
            endEmpty(response, BAD_REQUEST);
            return;
        }
        errorBoundary.run(
            source,
            () => handle(new URL(path, BASE), response, incoming),
            () => response.headersSent ? abortResponse(response) : endEmpty(response, INTERNAL_ERROR),
        );
    };
}

function endEmpty(response: ServerResponse, status: number): void {
    response.writeHead(status, { "Content-Length": "0" }).end();
}
