import { computeLoadLimit } from "./computeLoadLimit.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { PoolLedger } from "./poolLedger.js";

/**
 * Returns min(borrowed slots, slot limit, load limit) of a target; 0 out of service.
 *
 * A loan counts only after a load report requested since it began, because the target may still run requests that were
 * started under a lease of another owner. Without reports it counts after the load report timeout, when the target
 * is limited to its cold limit.
 */
export function computeSlotCeiling(
    ledger: PoolLedger,
    target: string,
    now: number,
    timings: LeaseTimings,
): number {
    const slots = ledger.targets[target];
    if (!slots?.inService) {
        return 0;
    }
    let borrowed = 0;
    for (const loan of Object.values(ledger.loans)) {
        const since = loan.since[target] ?? now;
        const isObserved = slots.load !== undefined && slots.load.requestedAt >= since;
        if (loan.deadline > now && (isObserved || now - since > timings.loadReportTimeoutMs)) {
            borrowed += loan.slots[target] ?? 0;
        }
    }
    return Math.min(
        borrowed,
        slots.slotLimit,
        computeLoadLimit(slots.load, slots.coldLimit, now, timings),
    );
}
