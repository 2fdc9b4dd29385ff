import { createServer, type RequestListener, type Server } from "node:http";
import { setCallerTimeouts } from "./setCallerTimeouts.js";

const MAX_HEADER_BYTES = 32_768;

/** Creates a server for callers that does not listen yet, with the default time-outs. */
export function createCallerServer(onRequest: RequestListener): Server {
    const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        // Set on connections that are served.
        noDelay: false,
    }, onRequest);
    setCallerTimeouts(server);
    // Node.js would end a connection as soon as its caller has closed its side, with responses due. The types lack the property.
    Object.assign(server, { httpAllowHalfOpen: true });
    return server;
}
