import type { ObservedRequest } from "./observedRequest.js";

/** Request whose caller got no whole response, and did not break its own connection. */
export interface IncompleteRequest extends ObservedRequest {
    /** HTTP status; 0 if the connection was closed without a byte of a response. */
    readonly status: number;
    /** Code of the error that ended the request before a response. */
    readonly errorCode: string | undefined;
    /** Whether the connection had carried a request before. */
    readonly isReused: boolean;
}
