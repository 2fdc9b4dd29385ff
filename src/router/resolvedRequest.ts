import type { RoutedRequest } from "../core/routing/routedRequest.js";

/** What the configuration says of a request. */
export type ResolvedRequest =
    | { readonly kind: "accepted"; readonly request: RoutedRequest; }
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
    };
