import type { HeldLease } from "./heldLease.js";
import type { LeaseUpdate } from "./leaseUpdate.js";
import type { PoolLeases } from "./poolLeases.js";

/**
 * Applies a lease state, unless the same or a newer one of its owner was applied. A state that the owner built
 * before it learned of the newest return of slots does not restore the returned slots, because the owner may have
 * granted them to another entry since. While a new owner recovers, leases of the old one stay valid until their
 * deadlines.
 *
 * @param expectedOwner Instance that this entry regards as the owner; states of other instances are ignored.
 */
export function applyLeaseUpdate(pool: PoolLeases, update: LeaseUpdate, expectedOwner: string): PoolLeases {
    const isSameOwner = pool.owner === update.owner;
    const isStale = isSameOwner && (update.ownerIncarnation < pool.ownerIncarnation
        || (update.ownerIncarnation === pool.ownerIncarnation && update.sequence <= pool.sequence));
    if (update.owner !== expectedOwner || isStale) {
        return pool;
    }
    const leases = new Map<string, HeldLease>(update.recovering ? pool.leases : []);
    for (const [target, lease] of update.leases) {
        const held = pool.leases.get(target);
        const isOld = update.reportSequence < pool.returnSequence;
        leases.set(target, {
            ...lease,
            slots: isOld ? Math.min(lease.slots, held?.slots ?? 0) : lease.slots,
            unusedSince: held?.unusedSince,
        });
    }
    return {
        ...pool,
        owner: update.owner,
        ownerIncarnation: update.ownerIncarnation,
        sequence: update.sequence,
        leases,
        horizon: update.horizon,
        freeSlots: update.freeSlots,
        recovering: update.recovering,
    };
}
