import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { ModelState } from "./modelState.js";
import { targetName } from "./targetName.js";

/** Builds the reply of an entry to a new owner that asks for its holdings. */
export function makeHoldingsEvent(state: ModelState, index: number): LedgerEvent {
    const entry = state.entries[index];
    return {
        type: "holdings",
        instance: String(index),
        incarnation: String(entry?.incarnation ?? 0),
        inUse: { [targetName]: entry?.inUse ?? 0 },
        fencingNumber: 1,
    };
}
