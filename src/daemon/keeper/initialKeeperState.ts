import { initialAdoptionState } from "../../core/configuration/initialAdoptionState.js";
import type { KeeperState } from "./keeperState.js";

/** State of a configuration manager that has just started. */
export const initialKeeperState: KeeperState = {
    adoption: initialAdoptionState,
    instances: { revision: -1, instances: [] },
    instancesAdoptedAt: 0,
    suspicion: {},
    notices: [],
};
