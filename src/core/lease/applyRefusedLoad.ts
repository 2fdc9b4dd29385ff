import type { LedgerResult } from "./ledgerResult.js";
import { limitLoad } from "./limitLoad.js";
import type { PoolLedger } from "./poolLedger.js";

/**
 * Lowers the load limit of a target that refuses connections to its cold limit. Otherwise entries keep their slots at a
 * crashed target and use all of them when it restarts, before its first load report shows the new epoch.
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
