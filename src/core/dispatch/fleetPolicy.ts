import { buildPoolKey } from "../lease/buildPoolKey.js";
import { computeDistance } from "./computeDistance.js";
import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { Distance } from "./distance.js";

/** A pool of the own region is asked after this wait, which covers a report and a grant of a pool with free slots. */
const REGION_DELAY_MS = 100;
/**
 * Pools of other regions are asked after this wait at the earliest, because that traffic is billed. It leaves half
 * a second of the 1.5 s to the first token.
 */
const REMOTE_DELAY_MS = 1000;

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
    computeInterest: (state, { head, queue, service }, dataCentre, facts) => {
        const { highestBacklogged, remoteLagThreshold } = facts.fairness;
        const distance = computeDistance(facts.index, facts.dataCentre, dataCentre);
        const isLagging = highestBacklogged !== undefined
            && highestBacklogged - service > remoteLagThreshold;
        if (isLagging || !hasNearerTarget(queue.service, distance, facts)) {
            return "ask";
        }
        const waitedMs = facts.now - head.enqueuedAt;
        if (waitedMs < (distance === 1 ? REGION_DELAY_MS : REMOTE_DELAY_MS)) {
            return "none";
        }
        // In a fleet that is busy everywhere all requests wait longer than the delay. Asking all pools all the time
        // would move requests between regions and gain nothing, so the pool must have more to offer.
        const pool = state.pools.get(buildPoolKey(queue.service, dataCentre));
        const lastGrant = state.lastGrants.get(`${queue.service}/1`) ?? 0;
        const isStarved = facts.now - Math.max(head.enqueuedAt, lastGrant) >= REMOTE_DELAY_MS;
        if (distance === 1 || isStarved || (pool?.freeSlots ?? 0) > 0) {
            return "ask";
        }
        // Slots of another region are kept only while nobody waits for them there: the horizon is then absent.
        const isWanted = pool?.horizon !== undefined && !pool.asked;
        const holdsSlots = [...pool?.leases.values() ?? []].some(lease => lease.slots > 0);
        return holdsSlots && !isWanted ? "use" : "probe";
    },
    isWithinHorizon: (state, { service }, target) => {
        const horizon = state.pools.get(buildPoolKey(target.service, target.dataCentre))?.horizon;
        return horizon === undefined || service <= horizon;
    },
};

/** True if a target in service is nearer than the distance, so that waiting for it can help. */
function hasNearerTarget(
    service: string,
    distance: Distance,
    facts: DispatchFacts,
): boolean {
    return [...facts.index.dataCentres.keys()].some(dataCentre =>
        computeDistance(facts.index, facts.dataCentre, dataCentre) < distance
        && facts.index.getPool(service, dataCentre).some(target => facts.index.isInService(target))
    );
}
