import type { RequestError } from "../errors/requestError.js";
import type { RequestResult } from "./requestResult.js";

/** One request that has ended, for the log line and the counters. */
export interface FinishedRequest {
    readonly requestId: string;
    /** `undefined` when the request failed before the value was known. */
    readonly account: string | undefined;
    readonly service: string | undefined;
    readonly result: RequestResult | undefined;
    readonly error: RequestError | undefined;
    /** Time since the request was received, in milliseconds. */
    readonly totalMs: number;
}
