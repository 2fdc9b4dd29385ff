import type { ConfigurationIndex } from "../configuration/configurationIndex.js";
import { computeGrantableSlots } from "../lease/computeGrantableSlots.js";
import { computeSlotCeiling } from "../lease/computeSlotCeiling.js";
import type { LeaseTimings } from "../lease/leaseTimings.js";
import type { PoolLedger } from "../lease/poolLedger.js";

interface TargetStatus {
    readonly target: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly inService: boolean;
    /** `cold` or `warm` in the last load report; `silent` without one. */
    readonly state: string;
    readonly slotLimit: number;
    /** Slots that may be leased now: the borrowed slots, limited by what the target can handle. */
    readonly ceiling: number;
    readonly granted: number;
    readonly inUse: number;
    readonly free: number;
    /** Requests in the last load report. */
    readonly running: number | undefined;
    /** Requests at the target that no entry reports. */
    readonly foreign: number;
}

/** Lists the targets of a pool as its owner sees them, for operators. */
export function listTargetStatus(
    ledger: PoolLedger,
    index: ConfigurationIndex,
    now: number,
    timings: LeaseTimings,
): readonly TargetStatus[] {
    return Object.entries(ledger.targets).flatMap(([id, slots]) => {
        const target = index.targets.get(index.targetNamesByHash.get(Number(id)) ?? "");
        if (!target) {
            return [];
        }
        const holdings = Object.values(ledger.entries).flatMap(entry => entry.holdings[id] ?? []);
        return [{
            target: target.name,
            service: target.service,
            dataCentre: target.dataCentre,
            inService: slots.inService,
            state: slots.load?.report.state ?? "silent",
            slotLimit: slots.slotLimit,
            ceiling: computeSlotCeiling(ledger, id, now, timings),
            granted: holdings.reduce((sum, holding) => sum + holding.granted, 0),
            inUse: holdings.reduce((sum, holding) => sum + holding.inUse, 0),
            free: ledger.recovery ? 0 : computeGrantableSlots(ledger, id, now, timings),
            running: slots.load?.report.running,
            foreign: slots.foreign,
        }];
    });
}
