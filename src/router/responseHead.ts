import type { LimitStatement } from "../core/limits/limitStatement.js";
import type { TargetNotice } from "../core/routing/targetNotice.js";
import type { LoadStatement } from "../core/targetSpeed/loadStatement.js";

/** Attributes of a target's response that its status and headers give. */
export interface ResponseHead {
    readonly requestId: string | undefined;
    /** True if the target declares that it did not execute the request. */
    readonly isNotExecuted: boolean;
    /** True if the target at the address is not the expected one. */
    readonly isMisdirected: boolean;
    /** False if only the end of the connection delimits the body, so that truncation cannot be detected. */
    readonly isFramed: boolean;
    readonly contentType: string | undefined;
    /** True if the response is signed by its target. */
    readonly isSigned: boolean;
    /** What the response says of the request limit of its target. */
    readonly requestLimit: LimitStatement;
    /** What the response says of the requests that its target wants. */
    readonly notice: TargetNotice;
    /** What the response says of the load of its target; `undefined` if it says nothing readable. */
    readonly load: LoadStatement | undefined;
    /** Headers to forward, as a flat list of names and values. */
    readonly forwardedHeaders: readonly string[];
}
