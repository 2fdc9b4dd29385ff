import type { IncomingMessage } from "node:http";

type PageBody = { readonly body: string; } | "tooLarge" | "tooLate";

/** Reads the body of a request for a page, within bounds; one that breaks off counts as late. */
export function readPageBody(
    incoming: IncomingMessage,
    maxBytes: number,
    timeoutMs: number,
): Promise<PageBody> {
    return new Promise(resolve => {
        // One buffer, because chunks of a byte each would take many times their length.
        const body = Buffer.alloc(maxBytes);
        let length = 0;
        const end = (result: PageBody): void => {
            clearTimeout(timer);
            incoming.off("data", onData);
            incoming.pause();
            resolve(result);
        };
        const onData = (chunk: Buffer): void => {
            if (length + chunk.length > maxBytes) {
                end("tooLarge");
                return;
            }
            length += chunk.copy(body, length);
        };
        const timer = setTimeout(() => end("tooLate"), timeoutMs);
        incoming.on("data", onData);
        incoming.once("end", () => end({ body: body.toString("utf8", 0, length) }));
        incoming.once("error", () => end("tooLate"));
        incoming.once("close", () => end("tooLate"));
    });
}
