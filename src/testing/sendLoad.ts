import type { OfferedRequest } from "./offeredRequest.js";
import { sendOnNewConnection } from "./sendOnNewConnection.js";

interface LoadOptions {
    /** Requests a second, each on a new connection, whatever becomes of the earlier ones. */
    readonly perSecond: number;
    readonly durationMs: number;
    /** Time in milliseconds after which a caller closes its connection without an answer. */
    readonly giveUpMs: number;
    readonly path: string;
    readonly buildHeaders: (index: number) => Readonly<Record<string, string>>;
}

const STEP_MS = 5;
const MS_PER_SECOND = 1000;

/** Offers requests to an address (host:port) at a constant rate, and waits for the end of each. */
export async function sendLoad(
    address: string,
    { perSecond, durationMs, path, giveUpMs, buildHeaders }: LoadOptions,
): Promise<readonly OfferedRequest[]> {
    const requests: Promise<OfferedRequest>[] = [];
    const startedAt = performance.now();
    const total = Math.round(perSecond * durationMs / MS_PER_SECOND);
    while (requests.length < total) {
        const due = Math.min(total, (performance.now() - startedAt) * perSecond / MS_PER_SECOND);
        while (requests.length < due) {
            requests.push(
                sendOnNewConnection(address, {
                    path,
                    giveUpMs,
                    headers: buildHeaders(requests.length),
                    bodyBytes: 0,
                }),
            );
        }
        await new Promise(resolve => setTimeout(resolve, STEP_MS));
    }
    return Promise.all(requests);
}
