import { computeSlotCeiling } from "./computeSlotCeiling.js";
import type { LedgerEffect } from "./ledgerEffect.js";
import type { LedgerPolicy } from "./ledgerPolicy.js";
import type { LedgerResult } from "./ledgerResult.js";
import type { PoolLedger } from "./poolLedger.js";
import { replaceHolding } from "./replaceHolding.js";

/**
 * Reduces leases at targets whose limit has fallen below the slots granted or in use, unused slots first. The slots
 * stay reserved until the entries confirm the reduction.
 *
 * Requests in flight above the reduced leases still occupy the target. An entry keeps a slot for reuse only if the
 * target can handle it beside the requests of the other entries. Otherwise a target that turned cold with 8 requests in
 * flight received a new one each time the entry with the last slot completed one.
 */
export function limitGrants(ledger: PoolLedger, now: number, policy: LedgerPolicy): LedgerResult {
    let state: PoolLedger = { ...ledger, sequence: ledger.sequence + 1 };
    const effects: LedgerEffect[] = [];
    for (const target of Object.keys(ledger.targets)) {
        const ceiling = computeSlotCeiling(ledger, target, now, policy.timings);
        for (;;) {
            const key = findExcessEntry(state, target, ceiling);
            const holding = key === undefined ? undefined : state.entries[key]?.holdings[target];
            if (key === undefined || !holding) {
                break;
            }
            state = replaceHolding(state, key, target, {
                granted: holding.granted - 1,
                changeSequence: state.sequence,
            });
            effects.push({ type: "record", reason: "lease-reduced", count: 1, entry: key, target });
            if (!effects.some(effect => effect.type === "push" && effect.entry === key)) {
                effects.push({ type: "push", entry: key });
            }
        }
    }
    return effects.length > 0 ? { state, effects } : { state: ledger, effects };
}

/**
 * Returns the key of the entry to take a slot from: one whose slots, together with what the other entries occupy,
 * exceed the ceiling.
 */
function findExcessEntry(ledger: PoolLedger, target: string, ceiling: number): string | undefined {
    const holdings = Object.entries(ledger.entries).flatMap(([key, { holdings: { [target]: holding } }]) =>
        holding ? [{ key, ...holding }] : []
    );
    const occupied = holdings.reduce((sum, { granted, inUse }) => sum + Math.max(granted, inUse), 0);
    return holdings
        .filter(({ granted, inUse }) => granted > 0 && occupied - Math.max(0, inUse - granted) > ceiling)
        .sort((a, b) => (b.granted - b.inUse) - (a.granted - a.inUse) || b.granted - a.granted)[0]?.key;
}
