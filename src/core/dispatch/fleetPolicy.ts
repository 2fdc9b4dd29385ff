import { buildPoolKey } from "../lease/buildPoolKey.js";
import { computeDistance } from "./computeDistance.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { Distance } from "./distance.js";

/** Wait for nearer pools before slots of the local region are requested; covers a demand report and its grant. */
const LOCAL_REGION_DELAY_MS = 100;
/**
 * Minimum wait for nearer pools before slots of a remote region are requested, because traffic between regions is
 * billed. Leaves half a second of the 1.5 s allowed until the first token.
 */
const REMOTE_REGION_DELAY_MS = 1000;

/** Default policy: the queue with the lowest normalised service first, under leases granted by the pool owners. */
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
    compareQueues: (a, b) =>
        a.normalizedService - b.normalizedService || a.head.enqueuedAt - b.head.enqueuedAt,
    compareTargets: (a, b) =>
        a.distance - b.distance || a.inUse / a.allowance.slots - b.inUse / b.allowance.slots,
    computeInterest: (state, { head, queue, normalizedService }, dataCentre, inputs) => {
        const { highestBacklogged, remoteLagThreshold } = inputs.fairness;
        const distance = computeDistance(inputs.index, inputs.dataCentre, dataCentre);
        const isLagging = highestBacklogged !== undefined
            && highestBacklogged - normalizedService > remoteLagThreshold;
        if (isLagging || !hasNearerTarget(queue.service, distance, inputs)) {
            return "ask";
        }
        const waitedMs = inputs.now - head.enqueuedAt;
        if (waitedMs < (distance === 1 ? LOCAL_REGION_DELAY_MS : REMOTE_REGION_DELAY_MS)) {
            return "none";
        }
        // In a saturated fleet every request waits longer than the delay. Asking all pools would then only move requests
        // between regions, so a remote pool must have free slots or nearer pools must have stopped granting.
        const pool = state.pools.get(buildPoolKey(queue.service, dataCentre));
        const lastGrant = state.lastGrants.get(`${queue.service}/1`) ?? 0;
        const isStarved = inputs.now - Math.max(head.enqueuedAt, lastGrant) >= REMOTE_REGION_DELAY_MS;
        if (distance === 1 || isStarved || (pool?.freeSlots ?? 0) > 0) {
            return "ask";
        }
        // Slots of a remote region are kept only while nobody waits for them there: the horizon is then undefined.
        const isContended = pool?.horizon !== undefined && !pool.hasDemand;
        const holdsSlots = [...pool?.leases.values() ?? []].some(lease => lease.slots > 0);
        return holdsSlots && !isContended ? "use" : "probe";
    },
    isWithinHorizon: (state, { normalizedService }, target) => {
        const horizon = state.pools.get(buildPoolKey(target.service, target.dataCentre))?.horizon;
        return horizon === undefined || normalizedService <= horizon;
    },
};

/** True if a target in service is nearer than the distance, so a request can wait for it instead. */
function hasNearerTarget(
    service: string,
    distance: Distance,
    inputs: DispatchInputs,
): boolean {
    return [...inputs.index.dataCentres.keys()].some(dataCentre =>
        computeDistance(inputs.index, inputs.dataCentre, dataCentre) < distance
        && inputs.index.getPool(service, dataCentre).some(target => inputs.index.isInService(target))
    );
}
