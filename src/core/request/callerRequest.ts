import type { ClientAccount } from "../configuration/clientAccount.js";
import type { Service } from "../configuration/service.js";
import type { HttpHeaders } from "./httpHeaders.js";

/** An authenticated request with its whole body. */
export interface CallerRequest {
    readonly requestId: string;
    readonly account: ClientAccount;
    readonly service: Service;
    readonly method: string;
    /** Path and query at the target. */
    readonly path: string;
    /** End-to-end headers for the target, names in lower case. */
    readonly headers: HttpHeaders;
    readonly body: Uint8Array | undefined;
    /** True if the caller asked for a token stream. */
    readonly isStream: boolean;
    /** Value of the `Idempotency-Key` header. */
    readonly idempotencyKey: string | undefined;
    /** Monotonic times in milliseconds. */
    readonly receivedAt: number;
    readonly deadline: number;
    /** Estimated upper bound of the cost in tokens; `undefined` if the request states no token limit. */
    readonly hintedCost: number | undefined;
}
