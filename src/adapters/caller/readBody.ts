import type { IncomingMessage } from "node:http";
import { CollectedBytes } from "../../core/bodies/collectedBytes.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { HeldBytes } from "../../core/memory/heldBytes.js";

const RETRY_AFTER_SECONDS = 1;

/**
 * Reads a whole request body.
 *
 * @param held Holds the memory of the body until its request has ended.
 * @throws RequestError `body-too-large`, `memory-limit` when the bodies of all requests take too much memory, or `request-incomplete` when the connection ends before the body does.
 */
export function readBody(incoming: IncomingMessage, maxBytes: number, held: HeldBytes): Promise<Buffer> {
    return new Promise((resolve, reject) => {
        const declared = incoming.headers["content-length"];
        const body = CollectedBytes.create(declared === undefined ? maxBytes : Number(declared));
        const refuse = (error: RequestError): void => {
            incoming.off("data", onData);
            incoming.pause();
            held.release();
            reject(error);
        };
        const refuseTooLarge = (): void =>
            refuse(RequestError.create("body-too-large", `The body is larger than ${maxBytes} bytes.`));
        const refuseForMemory = (): void =>
            refuse(RequestError.create("memory-limit", "The instance holds too many bodies.", {
                retryAfterSeconds: RETRY_AFTER_SECONDS,
            }));
        const onData = (chunk: Buffer): void => {
            if (body.length + chunk.length > maxBytes) {
                refuseTooLarge();
                return;
            }
            if (!held.add(body.computeGrowth(chunk.length))) {
                refuseForMemory();
                return;
            }
            body.append(chunk);
        };
        const declaredBytes = Number(declared ?? 0);
        if (declaredBytes > maxBytes) {
            refuseTooLarge();
            return;
        }
        if (!held.has(declaredBytes)) {
            refuseForMemory();
            return;
        }
        incoming.on("data", onData);
        incoming.once("end", () => {
            const whole = body.join();
            held.releaseSome(held.bytes - body.heldBytes);
            resolve(whole);
        });
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
