import type { ServiceExplanation } from "./serviceExplanation.js";

/** Answer of the page `/explain/route`. */
export interface RouteExplanation {
    readonly instance: string;
    readonly dataCentre: string;
    /** What the instance lacks to serve the request, such as `starting` or `stopping`; empty if it is ready. */
    readonly notReady: readonly string[];
    /** Rule that the request matches, with members that depend on the kind of instance. */
    readonly route: Readonly<Record<string, unknown>> | undefined;
    /** Name of the client account; empty if none is required. */
    readonly account: string | undefined;
    /** Why the request is refused before it gets to a service. */
    readonly refusal: {
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
    } | undefined;
    /** The services that the route names; the first one alone if the request has an identifier. */
    readonly services: readonly ServiceExplanation[];
}
