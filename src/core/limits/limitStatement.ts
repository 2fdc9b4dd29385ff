/** What one response of a target says about the rate of requests that it takes from all instances together. */
export type LimitStatement =
    | { readonly kind: "none"; }
    /** `reason` tells why a limit was taken that differs from the text of the response. */
    | { readonly kind: "named"; readonly perSecond: number; readonly reason?: string | undefined; }
    | { readonly kind: "invalid"; readonly reason: string; };
