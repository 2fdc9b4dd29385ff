import type { PoolLeases } from "./poolLeases.js";

/** Returns the state of a pool to whose owner this entry has not reported any demand. */
export function createPoolLeases(service: string, dataCentre: string): PoolLeases {
    return {
        service,
        dataCentre,
        owner: "",
        ownerIncarnation: "",
        sequence: 0,
        leases: new Map(),
        horizon: undefined,
        freeSlots: 0,
        recovering: false,
        hasDemand: false,
        reportSequence: 0,
        returnSequence: 0,
        returnCount: 0,
    };
}
