import type { RouteKind } from "./routeKind.js";

/** One rule that maps requests of a host and a path prefix to a service. */
export interface RouteRule {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time in milliseconds that a caller is kept waiting for the end of the answer. */
    readonly timeoutMs: number;
    /** Time in milliseconds within which an answer, or the first event of a stream, is on time. */
    readonly objectiveMs: number;
    /** Services with their shares of the requests. */
    readonly backends: readonly { readonly service: string; readonly weight: number; }[];
    readonly maxAttempts: number;
    /** True if callers need no key. */
    readonly isPublic: boolean;
    /** True if a stream may go on at another target after its last complete event. */
    readonly isResumable: boolean;
    /** Regions in which requests may be served; empty if all may. */
    readonly regions: readonly string[];
}
