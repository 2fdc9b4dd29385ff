import type { Claim } from "./claim.js";

/** Input of the claim of one key at a holder. */
export type ClaimEvent =
    | {
        readonly kind: "claim";
        readonly attempt: string;
        /** True if the holder is in the group of the key in its own view. */
        readonly isHolder: boolean;
        /** True if the holder would know of any earlier claim of the key. */
        readonly isVouchable: boolean;
    }
    | { readonly kind: "settle"; readonly attempt: string; readonly result: "released" | "run"; }
    /** A leaving holder transfers its claim to this one. */
    | { readonly kind: "adopt"; readonly claim: Claim; };
