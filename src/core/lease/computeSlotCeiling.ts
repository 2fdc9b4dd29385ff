import { computeBearable } from "./computeBearable.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { PoolLedger } from "./poolLedger.js";

/**
 * Returns min(borrowed slots, bearable limit) of a target.
 *
 * A loan counts only after a load report requested since it began, because the target may still
 * run work that was started under the lease of another owner. Without reports it counts after
 * `loadSilenceMs`; the target then has its cold limit.
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
        if (loan.deadline > now && (isObserved || now - since > timings.loadSilenceMs)) {
            borrowed += loan.slots[target] ?? 0;
        }
    }
    return Math.min(
        borrowed,
        slots.slotLimit,
        computeBearable(slots.load, slots.coldLimit, now, timings),
    );
}
