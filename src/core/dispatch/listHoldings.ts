import { buildPoolKey } from "../lease/buildPoolKey.js";
import type { DispatchState } from "./dispatchState.js";
import type { PoolHolding } from "./poolHolding.js";

/** Lists the slots held and in use in a pool by target name; slots in use count as held. */
export function listHoldings(
    state: DispatchState,
    service: string,
    dataCentre: string,
): ReadonlyMap<string, PoolHolding> {
    const holdings = new Map<string, PoolHolding>();
    for (const [name, lease] of state.pools.get(buildPoolKey(service, dataCentre))?.leases ?? []) {
        holdings.set(name, { held: lease.slots, inUse: 0, fencingNumber: lease.fencingNumber });
    }
    for (const request of state.requestsInFlight.values()) {
        if (request.ticket.service === service && request.dataCentre === dataCentre) {
            const holding = holdings.get(request.target);
            const inUse = (holding?.inUse ?? 0) + 1;
            holdings.set(request.target, {
                held: Math.max(holding?.held ?? 0, inUse),
                inUse,
                fencingNumber: Math.max(holding?.fencingNumber ?? 0, request.fencingNumber),
            });
        }
    }
    return new Map([...holdings].filter(([, holding]) => holding.held > 0));
}
