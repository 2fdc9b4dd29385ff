import type { ServerResponse } from "node:http";
import { abortResponse } from "../../shared/abortResponse.js";

/** A caller that does not read the buffered end of its response must not block a planned stop. */
const RESPONSE_READ_TIMEOUT_MS = 30_000;

/** Waits until the last byte of a response is handed to the network or its caller stops reading. */
export async function waitForResponseEnd(response: ServerResponse): Promise<void> {
    if (response.writableFinished || response.destroyed) {
        return;
    }
    const timer = setTimeout(() => abortResponse(response), RESPONSE_READ_TIMEOUT_MS);
    await new Promise<void>(resolve => {
        response.once("finish", resolve);
        response.once("close", resolve);
    });
    clearTimeout(timer);
}
