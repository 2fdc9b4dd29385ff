import type { Outcome } from "./outcome.js";
import type { RefusalReason } from "./refusalReason.js";

interface RequestErrorOptions {
    /** What is known about the execution. @default "not-run" */
    readonly outcome?: Outcome;
    /** Seconds after which a new request may succeed. @default undefined */
    readonly retryAfterSeconds?: number;
    readonly cause?: unknown;
}

/** A request that ended without a complete response from a target. */
export class RequestError extends Error {
    override readonly name = "RequestError";
    readonly code: RefusalReason;
    readonly outcome: Outcome;
    readonly retryAfterSeconds: number | undefined;

    private constructor(code: RefusalReason, detail: string, options: RequestErrorOptions) {
        super(detail, { cause: options.cause });
        this.code = code;
        this.outcome = options.outcome ?? "not-run";
        this.retryAfterSeconds = options.retryAfterSeconds;
    }

    /** Creates the error from its stable code and a human-readable sentence. */
    static create(code: RefusalReason, detail: string, options: RequestErrorOptions = {}): RequestError {
        return new RequestError(code, detail, options);
    }
}
