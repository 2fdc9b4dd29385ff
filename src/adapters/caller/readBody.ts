import type { IncomingMessage } from "node:http";
import { RequestError } from "../../core/errors/requestError.js";

/**
 * Reads a whole request body.
 *
 * @throws RequestError `body-too-large`, or `request-incomplete` when the connection ends before the body does.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let length = 0;
        const refuse = (): void => {
            incoming.off("data", onData);
            incoming.pause();
            reject(RequestError.create("body-too-large", `The body is larger than ${maxBytes} bytes.`));
        };
        const onData = (chunk: Buffer): void => {
            length += chunk.length;
            if (length > maxBytes) {
                refuse();
                return;
            }
            chunks.push(chunk);
        };
        if (Number(incoming.headers["content-length"] ?? 0) > maxBytes) {
            refuse();
            return;
        }
        incoming.on("data", onData);
        incoming.once("end", () => resolve(Buffer.concat(chunks)));
        incoming.once("error", reject);
        incoming.once("close", () => {
            if (incoming.complete) {
                return;
            }
            reject(
                RequestError.create("request-incomplete", "The caller stopped before the end of the body."),
            );
        });
    }).catch((error: unknown) => {
        throw error instanceof RequestError
            ? error
            : RequestError.create("request-incomplete", "The connection broke within the body.", {
                cause: error,
            });
    }) as Promise<Buffer>;
}
