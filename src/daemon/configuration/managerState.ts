import type { AdoptionState } from "../../core/configuration/adoptionState.js";
import type { InstanceList } from "../../core/membership/instanceList.js";
import type { LeavingNotice } from "../../core/membership/leavingNotice.js";
import type { SuspicionState } from "../../core/membership/suspicionState.js";

/** State of the configuration manager. */
export interface ManagerState {
    readonly adoption: AdoptionState;
    readonly instances: InstanceList;
    /** Monotonic time in milliseconds at which the instance list was adopted. */
    readonly instancesAdoptedAt: number;
    readonly suspicion: SuspicionState;
    readonly notices: readonly LeavingNotice[];
}
