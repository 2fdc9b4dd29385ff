import type { BundleCheck } from "./bundleCheck.js";

/** What happens to the configuration of a daemon. */
export type AdoptionEvent =
    | {
        readonly type: "offered";
        /** `platform`, or the name of the instance that passed the bundle on. */
        readonly source: string;
        readonly check: BundleCheck;
    }
    /** The peers that were asked after the start have answered or failed to. */
    | { readonly type: "peers-asked"; };
