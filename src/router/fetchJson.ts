import { type Agent, type IncomingHttpHeaders, request as sendRequest } from "node:http";
import { SourceError } from "../core/routing/sourceError.js";
import { limitBytesBeforeHead } from "./limitBytesBeforeHead.js";

interface FetchOptions {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly agent: Agent;
    /** Timeout for the complete response in milliseconds. */
    readonly timeoutMs: number;
    /** Called with the headers of a response with status 200. */
    readonly onHeaders?: (headers: IncomingHttpHeaders) => void;
}

/** A page of the store has about 1 MB, and the copy of a peer holds several pages. */
const MAX_BODY_BYTES = 16_777_216;

/**
 * Fetches a JSON document over HTTP.
 *
 * @throws SourceError when the connection fails, or the response exceeds the timeout or the size limit, is truncated, has
 * a status other than 200 or is not JSON.
 */
export function fetchJson(options: FetchOptions): Promise<unknown> {
    const { timeoutMs, onHeaders, ...target } = options;
    return new Promise((resolve, reject) => {
        const fail = (code: string, status?: number): void => {
            clearTimeout(timer);
            reject(SourceError.create(code, status));
        };
        const request = sendRequest(target);
        // A connection may stay inactive for good, so a call that times out closes its connection.
        const timer = setTimeout(() => {
            request.destroy();
            fail("timeout");
        }, timeoutMs);
        request.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "connection-failed"));
        request.on("socket", socket => {
            const endLimit = limitBytesBeforeHead(socket, () => {
                request.destroy();
                fail("head-too-long");
            });
            request.once("response", endLimit);
            request.once("close", endLimit);
        });
        request.on("response", response => {
            const chunks: Buffer[] = [];
            let length = 0;
            response.on("data", (chunk: Buffer) => {
                length += chunk.length;
                if (length > MAX_BODY_BYTES) {
                    request.destroy();
                    fail("body-too-long", response.statusCode);
                    return;
                }
                chunks.push(chunk);
            });
            response.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "truncated"));
            response.on("end", () => {
                if (response.statusCode !== 200) {
                    fail("status", response.statusCode);
                    return;
                }
                clearTimeout(timer);
                onHeaders?.(response.headers);
                try {
                    resolve(JSON.parse(Buffer.concat(chunks).toString("utf8")));
                }
                catch (error) {
                    fail(`invalid-body: ${String(error)}`);
                }
            });
        });
        request.end();
    });
}
