import type { IncomingHttpHeaders } from "node:http";
import type { TargetResponseWriter } from "./targetResponseWriter.js";
import type { Arrival } from "./arrival.js";

/** One admitted request of a target stand-in. */
export interface TargetExchange {
    readonly method: string;
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    /** Body of the request; under the fault `cross` that of the previous request. */
    readonly body: string;
    readonly writer: TargetResponseWriter;
    readonly arrival: Arrival;
    /** Aborted when the connection closes. */
    readonly signal: AbortSignal;
    readonly setHeader: (name: string, value: string) => void;
    /** Records served tokens. */
    readonly addTokens: (tokens: number) => void;
}
