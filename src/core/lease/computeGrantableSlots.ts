import { computeSlotCeiling } from "./computeSlotCeiling.js";
import type { LeaseTimings } from "./leaseTimings.js";
import type { PoolLedger } from "./poolLedger.js";
import { sumReservedSlots } from "./sumReservedSlots.js";

/** Returns how many more slots of a target can be granted beside reserved slots and foreign work. */
export function computeGrantableSlots(
    ledger: PoolLedger,
    target: string,
    now: number,
    timings: LeaseTimings,
): number {
    const foreign = ledger.targets[target]?.foreign ?? 0;
    return Math.max(
        0,
        computeSlotCeiling(ledger, target, now, timings) - sumReservedSlots(ledger, target) - foreign,
    );
}
