import { type Agent, type IncomingHttpHeaders, request as sendRequest } from "node:http";
import { CollectedBytes } from "../core/bodies/collectedBytes.js";
import { SourceError } from "../core/routing/sourceError.js";
import { countJsonParts } from "./countJsonParts.js";
import { limitBytesBeforeHead } from "./limitBytesBeforeHead.js";

interface FetchOptions {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    /** Names and values by turns. */
    readonly headers?: readonly string[];
    readonly agent: Agent;
    /** Timeout for the complete response in milliseconds. */
    readonly timeoutMs: number;
    /** Called with the headers of a response with status 200. */
    readonly onHeaders?: (headers: IncomingHttpHeaders) => void;
}

/** A page of the store has about 1 MB, and the copy of a peer holds several pages. Parsing takes four times the memory. */
const MAX_BODY_BYTES = 8_388_608;
/** An entry has up to five values; short values take up to twenty times the memory of their text. */
const MAX_JSON_PARTS = 200_000;

/**
 * Fetches a JSON document over HTTP.
 *
 * @throws SourceError when the connection fails, or the response exceeds the timeout or a limit, is truncated, has
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
            const body = CollectedBytes.create(MAX_BODY_BYTES);
            response.on("data", (chunk: Buffer) => {
                if (body.length + chunk.length > MAX_BODY_BYTES) {
                    request.destroy();
                    fail("body-too-long", response.statusCode);
                    return;
                }
                body.append(chunk);
            });
            response.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "truncated"));
            response.on("end", () => {
                if (response.statusCode !== 200) {
                    fail("status", response.statusCode);
                    return;
                }
                clearTimeout(timer);
                onHeaders?.(response.headers);
                const document = body.join();
                if (document.length > MAX_JSON_PARTS && countJsonParts(document) > MAX_JSON_PARTS) {
                    fail("too-many-values");
                    return;
                }
                try {
                    resolve(JSON.parse(document.toString("utf8")));
                }
                catch (error) {
                    fail(`invalid-body: ${String(error)}`);
                }
            });
        });
        request.end();
    });
}
