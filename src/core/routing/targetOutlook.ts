/**
 * What a request may expect that no target has capacity for now: `open`: a target may get capacity; `paused`: all targets
 * want no requests until a monotonic time in milliseconds; `none`: no target is left that the request may use.
 */
export type TargetOutlook =
    | { readonly kind: "open" | "none"; }
    | { readonly kind: "paused"; readonly until: number; };
