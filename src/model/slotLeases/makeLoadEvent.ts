import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { targetName } from "./targetName.js";

/** Builds the load report that an owner reads now. */
export function makeLoadEvent(state: ModelState, options: ModelOptions): LedgerEvent {
    const running = state.entries.reduce((sum, entry) => sum + entry.inUse, state.orphans);
    return {
        type: "load",
        target: targetName,
        requestedAt: 0,
        report: {
            epoch: "e",
            state: state.isWarm ? "warm" : "cold",
            running,
            bearable: state.isWarm ? options.slotLimit : options.coldLimit,
            // Normalisation sets the time of known reports to 0.
            measuredAtMs: 1,
        },
    };
}
