import type { LedgerEvent } from "./ledgerEvent.js";
import type { PoolLedger } from "./poolLedger.js";
import type { TargetSlots } from "./targetSlots.js";

/** Records the loan in a lender's reply; an empty reply leaves an earlier loan in force until its deadline. */
export function applyLoan(
    ledger: PoolLedger,
    event: Extract<LedgerEvent, { type: "loan"; }>,
    now: number,
): PoolLedger {
    const known = ledger.loans[event.lender];
    const previous = known && known.deadline > now ? known : undefined;
    if (event.deadline <= now || Object.keys(event.slots).length === 0) {
        return ledger;
    }
    const since: Record<string, number> = {};
    const targets: Record<string, TargetSlots> = { ...ledger.targets };
    for (const [target, count] of Object.entries(event.slots)) {
        const isGrown = count > (previous?.slots[target] ?? 0);
        since[target] = isGrown ? now : previous?.since[target] ?? now;
        const slots = targets[target];
        if (isGrown && slots) {
            targets[target] = { ...slots, uncertainSince: now };
        }
    }
    // A reply that arrives after a newer one does not shorten the loan.
    const deadline = Math.max(event.deadline, previous?.deadline ?? 0);
    const loan = { slots: event.slots, since, deadline };
    return { ...ledger, targets, loans: { ...ledger.loans, [event.lender]: loan } };
}
