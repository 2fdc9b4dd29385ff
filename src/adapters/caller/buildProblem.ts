import type { RequestError } from "../../core/errors/requestError.js";
import { statusByRefusalReason } from "./statusByRefusalReason.js";

interface Problem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly code: string;
    readonly outcome: string;
    readonly requestId: string;
    /** Seconds. */
    readonly retryAfter: number | undefined;
}

/** Builds the problem document (RFC 9457) of a failed request. */
export function buildProblem(error: RequestError, requestId: string): Problem {
    return {
        type: "about:blank",
        title: error.message,
        status: statusByRefusalReason[error.code],
        code: error.code,
        outcome: error.outcome,
        requestId,
        retryAfter: error.retryAfterSeconds,
    };
}
