import type { isVouchable } from "../core/claim/isVouchable.js";

/** Rules under which a claim is checked: those of production, or deliberately broken ones. */
export interface ClaimRules {
    readonly computeQuorum: (groupSize: number) => number;
    readonly isVouchable: typeof isVouchable;
    /** True if the entries assume that there was no earlier attempt. */
    readonly isFresh: boolean;
}
