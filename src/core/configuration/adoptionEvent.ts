import type { BundleCheck } from "./bundleCheck.js";

/** Input of the decision which configuration is in force in a daemon. */
export type AdoptionEvent =
    | {
        readonly type: "offered";
        /** `platform`, or the name of the instance that forwarded the bundle. */
        readonly source: string;
        readonly check: BundleCheck;
    }
    /** The requests to peers after the start have ended, with or without a reply. */
    | { readonly type: "peers-asked"; };
