import type { Target } from "../../core/configuration/target.js";
import type { HttpHeaders } from "../../core/request/httpHeaders.js";

/** One attempt of a request at one target. */
export interface AttemptRequest {
    readonly requestId: string;
    readonly target: Target;
    readonly method: string;
    /** Path and query below the base URL of the target. */
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: Uint8Array | undefined;
    /** Monotonic time in milliseconds after which the request may no longer be written. */
    readonly startDeadline: number;
    /** If false, the request gets a connection of its own. */
    readonly isRepeatable: boolean;
}
