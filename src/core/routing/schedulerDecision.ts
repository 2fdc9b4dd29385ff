import type { SchedulerRefusal } from "./schedulerRefusal.js";
import type { TargetGrant } from "./targetGrant.js";

/** Outcome of a request for a target. */
export type SchedulerDecision =
    | { readonly kind: "granted"; readonly grant: TargetGrant; }
    | { readonly kind: "waiting"; }
    | { readonly kind: "failed"; readonly error: unknown; }
    | ({ readonly kind: "refused"; } & SchedulerRefusal);
