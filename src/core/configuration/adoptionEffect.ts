import type { AcceptedBundle } from "./acceptedBundle.js";
import type { ConfigurationRejection } from "./configurationRejection.js";

/** What the daemon does after an adoption event. */
export type AdoptionEffect =
    | { readonly type: "adopted"; readonly bundle: AcceptedBundle; }
    | { readonly type: "rejected"; readonly rejection: ConfigurationRejection; }
    | { readonly type: "ignored"; readonly reason: "not-higher" | "rejected-before"; };
