import type { PoolLedger } from "./poolLedger.js";
import type { SlotHolding } from "./slotHolding.js";

const EMPTY_HOLDING: SlotHolding = {
    granted: 0,
    reserved: 0,
    changeSequence: 0,
    deadline: 0,
    inUse: 0,
    minInUse: 0,
    maxInUse: 0,
    coldAnswers: 0,
    busyAnswers: 0,
};

/** Returns the ledger with some fields of one holding changed; the same ledger if the entry is unknown. */
export function replaceHolding(
    ledger: PoolLedger,
    key: string,
    target: string,
    change: Partial<SlotHolding>,
): PoolLedger {
    const entry = ledger.entries[key];
    if (!entry) {
        return ledger;
    }
    const holdings = {
        ...entry.holdings,
        [target]: { ...EMPTY_HOLDING, ...entry.holdings[target], ...change },
    };
    return { ...ledger, entries: { ...ledger.entries, [key]: { ...entry, holdings } } };
}
