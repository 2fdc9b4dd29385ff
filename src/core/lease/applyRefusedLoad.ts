import type { LedgerResult } from "./ledgerResult.js";
import { limitLoad } from "./limitLoad.js";
import type { PoolLedger } from "./poolLedger.js";

/**
 * Lowers a target that accepts no connection to its cold limit. Without this, entries keep the slots of a target that
 * crashed and use all of them at its restart, before its first report shows the new epoch.
 */
export function applyRefusedLoad(ledger: PoolLedger, target: string, now: number): LedgerResult {
    const slots = ledger.targets[target];
    if (!slots?.load) {
        return { state: ledger, effects: [] };
    }
    const load = limitLoad(slots.load, "cold", slots.coldLimit, now);
    return {
        state: { ...ledger, targets: { ...ledger.targets, [target]: { ...slots, load } } },
        effects: load.bearable < slots.load.bearable
            ? [{ type: "record", reason: "target-refused", count: 1, target }]
            : [],
    };
}
