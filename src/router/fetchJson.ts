import { type Agent, request as sendRequest } from "node:http";
import { SourceError } from "../core/routing/sourceError.js";

interface FetchOptions {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly agent: Agent;
    /** Timeout for the complete response in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Fetches a JSON document over HTTP.
 *
 * @throws SourceError when the connection fails, or the response exceeds the timeout, is truncated, has a status other
 * than 200 or is not JSON.
 */
export function fetchJson(options: FetchOptions): Promise<unknown> {
    const { timeoutMs, ...target } = options;
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
        request.on("response", answer => {
            const chunks: Buffer[] = [];
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "truncated"));
            answer.on("end", () => {
                if (answer.statusCode !== 200) {
                    fail("status", answer.statusCode);
                    return;
                }
                clearTimeout(timer);
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
