import { countInUse } from "./countInUse.js";
import type { DispatchFacts } from "./dispatchFacts.js";
import type { DispatchPolicy } from "./dispatchPolicy.js";
import type { DispatchState } from "./dispatchState.js";
import type { HeldLease } from "./heldLease.js";
import { listQueueCandidates } from "./listQueueCandidates.js";
import type { PoolLeases } from "./poolLeases.js";
import type { QueueCandidate } from "./queueCandidate.js";

/** How long a free slot is kept for the next request while nothing else is in flight in the pool. */
const KEEP_UNUSED_MS = 100;
/**
 * How long a free slot is kept while requests are in flight in the pool. The owner may lease slots to an active entry
 * ahead of its demand; if they were returned at once, the two would only pass them back and forth.
 */
const KEEP_AHEAD_MS = 500;

/**
 * Returns free slots to the owners: at once when the target is out of service, every waiting account is above the
 * horizon or all requests wait for nearer pools, and after a short time when nothing waits.
 */
export function releaseSlots(
    state: DispatchState,
    policy: DispatchPolicy,
    facts: DispatchFacts,
): DispatchState {
    const inUse = countInUse(state);
    const queues = new Map<string, readonly QueueCandidate[]>();
    const pools = new Map<string, PoolLeases>();
    for (const [key, pool] of state.pools) {
        const candidates = queues.get(pool.service) ?? listQueueCandidates(state, pool.service, facts);
        queues.set(pool.service, candidates);
        const waiting = candidates.filter(queue =>
            ["ask", "use"].includes(policy.computeInterest(state, queue, pool.dataCentre, facts))
        );
        const isActive = [...pool.leases.keys()].some(name => (inUse.get(name) ?? 0) > 0);
        // Requests that wait for nearer pools do not use the slot, so it is not kept for them.
        const unwantedMs = candidates.length > 0 ? 0 : KEEP_UNUSED_MS;
        const keepMs = isActive && candidates.length === 0 ? KEEP_AHEAD_MS : unwantedMs;
        let hasReturned = false;
        const leases = new Map<string, HeldLease>();
        for (const [name, lease] of pool.leases) {
            const target = facts.index.targets.get(name);
            const used = inUse.get(name) ?? 0;
            const isUsable = target !== undefined && facts.index.isInService(target);
            const isAboveHorizon = target !== undefined && waiting.length > 0
                && !waiting.some(queue => policy.isWithinHorizon(state, queue, target));
            const isUnused = used < lease.slots && waiting.length === 0;
            const unusedSince = isUnused ? lease.unusedSince ?? facts.now : undefined;
            const isKept = isUsable && !isAboveHorizon
                && (unusedSince === undefined || facts.now < unusedSince + keepMs);
            const slots = isKept ? lease.slots : Math.min(lease.slots, used);
            hasReturned ||= slots < lease.slots;
            leases.set(name, { ...lease, slots, unusedSince: slots < lease.slots ? undefined : unusedSince });
        }
        pools.set(key, {
            ...pool,
            leases,
            returns: hasReturned ? pool.returns + 1 : pool.returns,
            returnSequence: hasReturned ? pool.reportSequence + 1 : pool.returnSequence,
        });
    }
    return { ...state, pools };
}
