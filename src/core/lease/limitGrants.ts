import { computeSlotCeiling } from "./computeSlotCeiling.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import type { PoolLedger } from "./poolLedger.js";
import { replaceHolding } from "./replaceHolding.js";

/**
 * Lowers leases of targets whose limit has fallen below what is granted, unused slots first. The
 * slots stay reserved until the entries confirm.
 */
export function limitGrants(ledger: PoolLedger, now: number, policy: LedgerPolicy): LedgerResult {
    let state: PoolLedger = { ...ledger, sequence: ledger.sequence + 1 };
    const effects: LedgerEffect[] = [];
    for (const target of Object.keys(ledger.targets)) {
        const ceiling = computeSlotCeiling(ledger, target, now, policy.timings);
        let excess = -ceiling;
        for (const entry of Object.values(ledger.entries)) {
            excess += entry.holdings[target]?.granted ?? 0;
        }
        while (excess > 0) {
            const key = findLargestHolder(state, target);
            const holding = key === undefined ? undefined : state.entries[key]?.holdings[target];
            if (key === undefined || !holding) {
                break;
            }
            state = replaceHolding(state, key, target, {
                granted: holding.granted - 1,
                changedBy: state.sequence,
            });
            effects.push({ type: "record", reason: "lease-reduced", count: 1, entry: key, target });
            if (!effects.some(effect => effect.type === "push" && effect.entry === key)) {
                effects.push({ type: "push", entry: key });
            }
            excess -= 1;
        }
    }
    return effects.length > 0 ? { state, effects } : { state: ledger, effects };
}

function findLargestHolder(ledger: PoolLedger, target: string): string | undefined {
    let best: { readonly key: string; readonly unused: number; readonly granted: number; } | undefined;
    for (const [key, entry] of Object.entries(ledger.entries)) {
        const holding = entry.holdings[target];
        if (!holding || holding.granted === 0) {
            continue;
        }
        const unused = holding.granted - holding.inUse;
        if (!best || unused > best.unused || (unused === best.unused && holding.granted > best.granted)) {
            best = { key, unused, granted: holding.granted };
        }
    }
    return best?.key;
}
