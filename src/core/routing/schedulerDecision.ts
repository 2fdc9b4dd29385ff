import type { TargetGrant } from "./targetGrant.js";

/** What becomes of a request that asks for a target. */
export type SchedulerDecision =
    | { readonly kind: "granted"; readonly grant: TargetGrant; }
    | { readonly kind: "waiting"; }
    | {
        readonly kind: "refused";
        readonly reason: "no-target" | "overloaded";
        readonly retryAfterMs: number;
    };
