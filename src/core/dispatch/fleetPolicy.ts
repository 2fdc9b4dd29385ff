import { buildPoolKey } from "./buildPoolKey.js";
import { computeDistance } from "./computeDistance.js";
import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { Distance } from "./distance.js";

/**
 * Wait of an account's oldest request after which the entry asks the region, then other regions. Links within a
 * region are fast, so 100 ms cover a report and a grant of a pool with free slots. 1 s to other regions, whose
 * traffic is billed, leaves half a second of the 1.5 s to the first token.
 */
const SPILL_DELAYS_MS = [0, 100, 1000] as const;

/** The product's policy: the lowest normalised service first, under leases from the owners of the pools. */
export const fleetPolicy: DispatchPolicy = {
    usesLeases: true,
    getAllowance: (state, target) => {
        const lease = state.pools.get(buildPoolKey(target.service, target.dataCentre))?.leases
            .get(target.name);
        return {
            slots: lease?.slots ?? 0,
            fencingNumber: lease?.fencingNumber ?? 0,
            startDeadline: lease?.deadline ?? 0,
        };
    },
    compareQueues: (a, b) => a.service - b.service || a.head.enqueuedAt - b.head.enqueuedAt,
    compareTargets: (a, b) =>
        a.distance - b.distance || a.inUse / a.allowance.slots - b.inUse / b.allowance.slots,
    computeReach: ({ head, queue, service }, facts) => {
        const { highestBacklogged, remoteLagThreshold } = facts.fairness;
        if (highestBacklogged !== undefined && highestBacklogged - service > remoteLagThreshold) {
            return 2;
        }
        let reach: Distance = 0;
        for (const distance of [1, 2] as const) {
            if (
                facts.now - head.enqueuedAt < SPILL_DELAYS_MS[distance]
                && hasTarget(queue.service, distance, facts)
            ) {
                return reach;
            }
            reach = distance;
        }
        return reach;
    },
    isWithinHorizon: (state, { service }, target) => {
        const horizon = state.pools.get(buildPoolKey(target.service, target.dataCentre))?.horizon;
        return horizon === undefined || service <= horizon;
    },
};

/** True if a target in service is nearer than the distance, so that waiting for it can help. */
function hasTarget(
    service: string,
    distance: Distance,
    facts: DispatchFacts,
): boolean {
    return [...facts.index.dataCentres.keys()].some(dataCentre =>
        computeDistance(facts.index, facts.dataCentre, dataCentre) < distance
        && facts.index.getPool(service, dataCentre).some(target => facts.index.isInService(target))
    );
}
