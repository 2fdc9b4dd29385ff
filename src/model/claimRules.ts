import type { isVouchable } from "../core/claim/isVouchable.js";

/** The rules that the model check varies; the product's own or deliberately broken ones. */
export interface ClaimRules {
    readonly computeQuorum: (groupSize: number) => number;
    readonly isVouchable: typeof isVouchable;
    /** True if the entries believe that no earlier attempt can exist. */
    readonly isFresh: boolean;
}
