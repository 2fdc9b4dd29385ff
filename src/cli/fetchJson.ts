import { performance } from "node:perf_hooks";
import { request } from "undici";
import { readBoundedJson } from "../shared/readBoundedJson.js";

const TIMEOUT_MS = 3000;
/** The status of a daemon names each target; a page of a large fleet takes a few hundred kilobytes. */
const MAX_BYTES = 33_554_432;

/**
 * Fetches a JSON page of an instance.
 *
 * @param body JSON text to post; by default, the page is only read.
 * @throws Error when there is no response within 3 s or its status is not 200.
 */
export async function fetchJson(address: string, path: string, body?: string): Promise<unknown> {
    const deadline = performance.now() + TIMEOUT_MS;
    const response = await request(`http://${address}${path}`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
        ...(body === undefined
            ? {}
            : { method: "POST", body, headers: { "content-type": "application/json" } }),
    });
    if (response.statusCode !== 200) {
        await response.body.dump();
        throw new Error(`status ${response.statusCode}`);
    }
    return readBoundedJson(response.body as AsyncIterable<Buffer>, { maxBytes: MAX_BYTES, deadline });
}
