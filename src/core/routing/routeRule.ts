import type { RouteKind } from "./routeKind.js";

/** One rule that maps requests of a host and a path prefix to a service. */
export interface RouteRule {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time in milliseconds that a caller waits for the complete response. */
    readonly timeoutMs: number;
    /** Latency objective in milliseconds of a response, or of the first event of a stream. */
    readonly objectiveMs: number;
    /** Services and the weights by which they share the requests. */
    readonly backends: readonly { readonly service: string; readonly weight: number; }[];
    readonly maxAttempts: number;
    /** True if callers need no key. */
    readonly isPublic: boolean;
    /** True if a stream may be resumed at another target after its last complete event. */
    readonly isResumable: boolean;
    /** Regions in which requests may be served; empty if all may. */
    readonly regions: readonly string[];
}
