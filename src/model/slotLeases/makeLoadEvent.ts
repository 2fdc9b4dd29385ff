import type { LedgerEvent } from "../../core/lease/ledgerEvent.js";
import type { ModelOptions } from "./modelOptions.js";
import type { ModelState } from "./modelState.js";
import { targetName } from "./targetName.js";

/** Builds the event of an owner that reads the current load report of the target. */
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
            // Newer than known reports, whose time normalisation sets to 0.
            measuredAtMs: 1,
        },
    };
}
