import type { ServerResponse } from "node:http";
import type { LogSink } from "./logSink.js";
import type { RequestMemory } from "./requestMemory.js";

interface UnreadResponsesOptions {
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly memory: Pick<RequestMemory, "mayTake">;
    /** Limit of one body in bytes. */
    readonly getMaxBodyBytes: () => number;
    readonly log: Pick<LogSink, "write">;
}

/** Callers tolerate half a second beyond a deadline; the rest allows for a slow way to the caller. */
const MARGIN_MS = 2000;

/** Complete responses that their callers do not read. They are held without a limit of time unless memory is short. */
export class UnreadResponses {
    readonly #options: UnreadResponsesOptions;
    /** Deadlines in monotonic milliseconds of the requests whose responses are open. */
    readonly #deadlines = new Map<ServerResponse, number>();

    private constructor(options: UnreadResponsesOptions) {
        this.#options = options;
    }

    /** Creates a record without responses. */
    static create(options: UnreadResponsesOptions): UnreadResponses {
        return new UnreadResponses(options);
    }

    /** Adds the response that is due for a request with a deadline. */
    add(response: ServerResponse, deadline: number): void {
        this.#deadlines.set(response, deadline);
        response.on("close", () => this.#deadlines.delete(response));
    }

    /** Closes the connections whose responses have not been read by the deadlines of their requests, if memory is short. */
    check(): void {
        const { getNow, memory, getMaxBodyBytes, log } = this.#options;
        // Memory is short once a body of the largest size finds no room: it is refused then, so that the budget need not be used up.
        if (memory.mayTake(getMaxBodyBytes())) {
            return;
        }
        const now = getNow();
        for (const [response, deadline] of this.#deadlines) {
            if (response.writableEnded && !response.writableFinished && now > deadline + MARGIN_MS) {
                this.#deadlines.delete(response);
                log.write("caller-connection-failed", { reason: "response-unread" });
                response.destroy();
            }
        }
    }
}
