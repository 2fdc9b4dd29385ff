import { createServer, type RequestListener, type Server } from "node:http";

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
/** Longer than an entries response is valid, so that a caller with steady requests keeps its connection. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Creates a server for callers that does not listen yet. */
export function createCallerHttpServer(onRequest: RequestListener): Server {
    return createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        // Set on connections that are served.
        noDelay: false,
    }, onRequest);
}
