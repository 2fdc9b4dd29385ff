import type { DispatchState } from "./dispatchState.js";

/** Lists the slots held and in use in a pool by target name; slots in use count as held. */
export function listHoldings(
    state: DispatchState,
    service: string,
    dataCentre: string,
): ReadonlyMap<string, { readonly held: number; readonly inUse: number; }> {
    const holdings = new Map<string, { held: number; inUse: number; }>();
    for (const [name, lease] of state.pools.get(`${service}@${dataCentre}`)?.leases ?? []) {
        holdings.set(name, { held: lease.slots, inUse: 0 });
    }
    for (const flight of state.flights.values()) {
        if (flight.ticket.service === service && flight.dataCentre === dataCentre) {
            const holding = holdings.get(flight.target) ?? { held: 0, inUse: 0 };
            const inUse = holding.inUse + 1;
            holdings.set(flight.target, { held: Math.max(holding.held, inUse), inUse });
        }
    }
    return new Map([...holdings].filter(([, holding]) => holding.held > 0));
}
