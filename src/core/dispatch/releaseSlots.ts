import { countInUse } from "./countInUse.js";
import type { DispatchInputs } from "./dispatchInputs.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import type { HeldLease } from "./heldLease.js";
import { listQueueCandidates } from "./listQueueCandidates.js";
import type { PoolLeases } from "./poolLeases.js";
import type { QueueCandidate } from "./queueCandidate.js";

/** How long a free slot is kept for the next request while nothing else is in flight in the pool. */
const IDLE_POOL_KEEP_MS = 100;
/**
 * How long a free slot is kept while requests are in flight in the pool. The owner may lease slots to an active entry
 * ahead of its demand; if they were returned at once, the two would only pass them back and forth.
 */
const ACTIVE_POOL_KEEP_MS = 500;

/**
 * Returns free slots to the owners: at once when the target is out of service, every waiting account is above the
 * horizon or all requests wait for nearer pools, and after a short time when nothing waits.
 */
export function releaseSlots(
    state: DispatchState,
    policy: DispatchPolicy,
    inputs: DispatchInputs,
): DispatchState {
    const inUse = countInUse(state);
    const candidatesByService = new Map<string, readonly QueueCandidate[]>();
    const pools = new Map<string, PoolLeases>();
    for (const [key, pool] of state.pools) {
        const candidates = candidatesByService.get(pool.service)
            ?? listQueueCandidates(state, pool.service, inputs);
        candidatesByService.set(pool.service, candidates);
        const waiting = candidates.filter(queue =>
            ["ask", "use"].includes(policy.computeInterest(state, queue, pool.dataCentre, inputs))
        );
        const isActive = [...pool.leases.keys()].some(name => (inUse.get(name) ?? 0) > 0);
        // Requests that wait for nearer pools do not use the slot, so it is not kept for them.
        const idlePoolKeepMs = candidates.length > 0 ? 0 : IDLE_POOL_KEEP_MS;
        const keepMs = isActive && candidates.length === 0 ? ACTIVE_POOL_KEEP_MS : idlePoolKeepMs;
        let hasReturned = false;
        const leases = new Map<string, HeldLease>();
        for (const [name, lease] of pool.leases) {
            const target = inputs.index.targets.get(name);
            const used = inUse.get(name) ?? 0;
            const isUsable = target !== undefined && inputs.index.isInService(target);
            const isAboveHorizon = target !== undefined && waiting.length > 0
                && !waiting.some(queue => policy.isWithinHorizon(state, queue, target));
            const isUnused = used < lease.slots && waiting.length === 0;
            const unusedSince = isUnused ? lease.unusedSince ?? inputs.now : undefined;
            const isKept = isUsable && !isAboveHorizon
                && (unusedSince === undefined || inputs.now < unusedSince + keepMs);
            const slots = isKept ? lease.slots : Math.min(lease.slots, used);
            hasReturned ||= slots < lease.slots;
            leases.set(name, { ...lease, slots, unusedSince: slots < lease.slots ? undefined : unusedSince });
        }
        pools.set(key, {
            ...pool,
            leases,
            returnCount: hasReturned ? pool.returnCount + 1 : pool.returnCount,
            returnSequence: hasReturned ? pool.reportSequence + 1 : pool.returnSequence,
        });
    }
    return { ...state, pools };
}
