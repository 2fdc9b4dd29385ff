import type { IncomingMessage } from "node:http";
import { BodyProgress } from "../../core/bodies/bodyProgress.js";
import { CollectedBytes } from "../../core/bodies/collectedBytes.js";
import type { OpenBodies } from "../../core/bodies/openBodies.js";
import { RequestError } from "../../core/errors/requestError.js";
import type { HeldBytes } from "../../core/memory/heldBytes.js";

interface BodyMemory {
    /** Holds the memory of the body until its request has ended. */
    readonly held: HeldBytes;
    /** Bodies that are being read; one may be ended so that this one has room. */
    readonly openBodies: OpenBodies;
}

const RETRY_AFTER_SECONDS = 1;
const MESSAGES = {
    "memory-limit": "The instance holds too many bodies.",
    "body-shed": "The instance holds too many bodies, and this one has made no progress.",
    "body-stalled": "No byte of the body has arrived for too long.",
} as const;

/**
 * Reads a whole request body.
 *
 * @throws RequestError `body-too-large`, `memory-limit` when the bodies of all requests take too much memory, `body-shed` when
 * this one progresses least meanwhile, `body-stalled` when nothing of it arrives, or `request-incomplete` when the connection
 * ends before the body does.
 */
export function readBody(
    incoming: IncomingMessage,
    maxBytes: number,
    { held, openBodies }: BodyMemory,
): Promise<Buffer> {
    const progress = BodyProgress.create(openBodies.now);
    return new Promise<Buffer>((resolve, reject) => {
        const declared = incoming.headers["content-length"];
        let body = CollectedBytes.create(declared === undefined ? maxBytes : Number(declared));
        let isEnded = false;
        const refuse = (error: RequestError): void => {
            isEnded = true;
            incoming.off("data", onData);
            incoming.pause();
            // The listeners below stay until the connection closes, which a response that is due before this one delays.
            body = CollectedBytes.create(0);
            held.release();
            reject(error);
        };
        const refuseTooLarge = (): void =>
            refuse(RequestError.create("body-too-large", `The body is larger than ${maxBytes} bytes.`));
        const end = (code: keyof typeof MESSAGES): void =>
            refuse(RequestError.create(
                code,
                MESSAGES[code],
                code === "body-stalled" ? {} : { retryAfterSeconds: RETRY_AFTER_SECONDS },
            ));
        const hasRoom = (bytes: number): boolean => {
            while (!held.has(bytes)) {
                // None is ended while that would not free enough.
                if (!held.has(bytes - openBodies.sumEndableBytes()) || !openBodies.tryEndOne()) {
                    return false;
                }
            }
            return true;
        };
        const onData = (chunk: Buffer): void => {
            if (body.length + chunk.length > maxBytes) {
                refuseTooLarge();
                return;
            }
            const growth = body.computeGrowth(chunk.length);
            const mayGrow = growth === 0 || hasRoom(growth);
            if (isEnded) {
                // It was itself the one that progresses least.
                return;
            }
            if (!mayGrow || !held.add(growth)) {
                end("memory-limit");
                return;
            }
            body.append(chunk);
            progress.record(chunk.length, body.heldBytes, openBodies.now);
        };
        const declaredBytes = Number(declared ?? 0);
        if (declaredBytes > maxBytes) {
            refuseTooLarge();
            return;
        }
        if (!hasRoom(declaredBytes)) {
            end("memory-limit");
            return;
        }
        openBodies.add({ progress, end });
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
    }).finally(() => openBodies.delete(progress));
}
