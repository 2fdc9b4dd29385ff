import type { ServerResponse } from "node:http";
import { OpenBodies } from "../../core/bodies/openBodies.js";
import type { RequestError } from "../../core/errors/requestError.js";
import { HeldBytes } from "../../core/memory/heldBytes.js";
import { MemoryBudget } from "../../core/memory/memoryBudget.js";

interface CallerBodiesOptions {
    /** Limit of the bodies of all requests in flight together, in bytes. @default 40,000,000 */
    readonly maxHeldBytes?: number | undefined;
    /** Longest time in milliseconds for which no byte of a body arrives. @default 15,000 */
    readonly bodyIdleTimeoutMs?: number | undefined;
}

/** A daemon has 256 MB; this is the share that the router's bodies get. */
const MAX_HELD_BYTES = 40_000_000;
const BODY_IDLE_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 50;
const UNREAD_CODES: ReadonlySet<RequestError["code"]> = new Set([
    "body-too-large",
    "memory-limit",
    "body-stalled",
    "body-shed",
    "request-incomplete",
]);

/** Bodies of the requests in flight: those that are being read, and the memory of all. */
export class CallerBodies {
    readonly #budget: MemoryBudget;
    readonly #open = OpenBodies.create();
    readonly #timer: NodeJS.Timeout;

    private constructor({ maxHeldBytes, bodyIdleTimeoutMs }: CallerBodiesOptions) {
        this.#budget = MemoryBudget.create(maxHeldBytes ?? MAX_HELD_BYTES);
        const maxIdleMs = bodyIdleTimeoutMs ?? BODY_IDLE_TIMEOUT_MS;
        this.#timer = setInterval(() => this.#open.advance(CHECK_INTERVAL_MS, maxIdleMs), CHECK_INTERVAL_MS);
        this.#timer.unref();
    }

    /** Creates a record of no bodies. */
    static create(options: CallerBodiesOptions): CallerBodies {
        return new CallerBodies(options);
    }

    /** Returns whether the rest of a body is not read after an error. */
    static isUnreadAfter(error: RequestError): boolean {
        return UNREAD_CODES.has(error.code);
    }

    /** Creates what a request needs to read its body; its memory is released when its response has ended. */
    reserve(response: ServerResponse): { readonly held: HeldBytes; readonly openBodies: OpenBodies; } {
        const held = HeldBytes.create(this.#budget);
        response.once("close", () => held.release());
        return { held, openBodies: this.#open };
    }

    /** Stops checking. */
    close(): void {
        clearInterval(this.#timer);
    }
}
