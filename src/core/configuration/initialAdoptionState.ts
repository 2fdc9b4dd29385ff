import type { AdoptionState } from "./adoptionState.js";

/** State of a daemon that has just started. */
export const initialAdoptionState: AdoptionState = {
    phase: "asking",
    inForce: undefined,
    candidate: undefined,
    deltas: [],
    lastRejection: undefined,
};
