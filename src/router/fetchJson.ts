import { type Agent, request as sendRequest } from "node:http";
import { SourceError } from "../core/routing/sourceError.js";

interface FetchOptions {
    readonly host: string;
    readonly port: number;
    readonly path: string;
    readonly agent: Agent;
    /** Longest wait for the whole answer in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Reads a JSON document.
 *
 * @throws SourceError when the answer is late, refused, cut or not JSON.
 */
export function fetchJson(options: FetchOptions): Promise<unknown> {
    const { timeoutMs, ...target } = options;
    return new Promise((resolve, reject) => {
        const fail = (code: string, status?: number): void => {
            clearTimeout(timer);
            reject(SourceError.create(code, status));
        };
        const request = sendRequest(target);
        // A connection may go silent for good, so a late call takes its connection with it.
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
