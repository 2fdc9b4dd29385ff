import { initialAdoptionState } from "../../core/configuration/initialAdoptionState.js";
import type { ManagerState } from "./managerState.js";

/** State of a configuration manager that has just started. */
export const initialManagerState: ManagerState = {
    adoption: initialAdoptionState,
    instances: { revision: -1, instances: [] },
    instancesAdoptedAt: 0,
    suspicion: {},
    notices: [],
};
