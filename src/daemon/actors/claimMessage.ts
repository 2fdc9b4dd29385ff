import type { ClaimEvent } from "../../core/claim/claimEvent.js";
import type { ClaimVerdict } from "../../core/claim/claimVerdict.js";

/** Message to the claim holder actor. */
export type ClaimMessage =
    | {
        readonly kind: "claim";
        readonly account: string;
        readonly key: string;
        readonly attempt: string;
        readonly reply: (verdict: ClaimVerdict) => void;
    }
    | {
        readonly kind: "change";
        readonly account: string;
        readonly key: string;
        readonly event: Extract<ClaimEvent, { readonly kind: "settle" | "adopt"; }>;
    }
    /** Replies when all earlier messages have been applied. */
    | { readonly kind: "flush"; readonly reply: () => void; };
