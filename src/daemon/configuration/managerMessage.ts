import type { BundleCheck } from "../../core/configuration/bundleCheck.js";
import type { InstanceList } from "../../core/membership/instanceList.js";

/** Message to the configuration manager. */
export type ManagerMessage =
    /** `source` is `platform` or the name of an instance. */
    | { readonly type: "offered"; readonly source: string; readonly check: BundleCheck; }
    | { readonly type: "list-offered"; readonly list: InstanceList; }
    | { readonly type: "peers-asked"; }
    | { readonly type: "result"; readonly instance: string; readonly reached: boolean; }
    | { readonly type: "probed"; readonly instance: string; }
    | { readonly type: "leaving"; readonly instance: string; readonly incarnation: string; }
    /** An instance was observed to run with this incarnation. */
    | { readonly type: "seen"; readonly instance: string; readonly incarnation: string; }
    | { readonly type: "tick"; };
