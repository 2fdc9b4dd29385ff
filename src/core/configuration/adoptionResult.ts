import type { AdoptionEffect } from "./adoptionEffect.js";
import type { AdoptionState } from "./adoptionState.js";

/** State and effects after an adoption event. */
export interface AdoptionResult {
    readonly state: AdoptionState;
    readonly effects: readonly AdoptionEffect[];
}
