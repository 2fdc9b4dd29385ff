import type { ServerResponse } from "node:http";

/**
 * Closes the connection of a response so that its caller cannot take what has arrived for a whole response. Without chunks,
 * a connection that ends in order may complete the response, so that it is reset.
 */
export function abortResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
