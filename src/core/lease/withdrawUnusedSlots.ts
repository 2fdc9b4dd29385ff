import { isReporting } from "./isReporting.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import { listUnservedNeeds } from "./listUnservedNeeds.js";
import type { PoolLedger } from "./poolLedger.js";
import { replaceHolding } from "./replaceHolding.js";
import { sumUnusedSlots } from "./sumUnusedSlots.js";

/** Reclaims unused slots from an entry that has just sent its demand report while other entries wait for slots. */
export function withdrawUnusedSlots(
    ledger: PoolLedger,
    key: string,
    now: number,
    policy: LedgerPolicy,
): LedgerResult {
    const entry = ledger.entries[key];
    if (!entry) {
        return { state: ledger, effects: [] };
    }
    let wanted = 0;
    for (const [other, candidate] of Object.entries(ledger.entries)) {
        if (other !== key && isReporting(candidate, now, policy.timings)) {
            wanted += listUnservedNeeds(candidate).reduce((sum, need) => sum + need.waiting, 0);
        }
        // Slots of reductions that are not confirmed yet will become free, so they count as available.
        for (const holding of Object.values(candidate.holdings)) {
            wanted -= Math.max(0, holding.reserved - Math.max(holding.granted, holding.inUse));
        }
    }
    const waiting = entry.needs.reduce((sum, need) => sum + need.waiting, 0);
    const count = Math.min(wanted, sumUnusedSlots(entry) - waiting);
    if (count <= 0) {
        return { state: ledger, effects: [] };
    }
    let state: PoolLedger = { ...ledger, sequence: ledger.sequence + 1 };
    let remaining = count;
    for (const [target, holding] of Object.entries(entry.holdings)) {
        const taken = Math.min(remaining, Math.max(0, holding.granted - holding.inUse));
        if (taken > 0) {
            const change = { granted: holding.granted - taken, changeSequence: state.sequence };
            state = replaceHolding(state, key, target, change);
            remaining -= taken;
        }
    }
    return {
        state,
        effects: [{ type: "push", entry: key }, {
            type: "record",
            reason: "slot-reclaimed",
            count,
            entry: key,
        }],
    };
}
