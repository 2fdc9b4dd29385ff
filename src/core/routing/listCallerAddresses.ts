import type { MemberRecord } from "./memberRecord.js";
import type { Place } from "./place.js";

/** A longer answer gains a caller nothing, and the platform limits it to this many. */
const MAX_ADDRESSES = 64;

/**
 * Lists the addresses that a caller at a place should use: open instances of its data centre, else of its region, else
 * any. Busy instances, and those that only take requests without a key, are listed when no other is left.
 */
export function listCallerAddresses(members: readonly MemberRecord[], caller: Place): readonly string[] {
    for (const state of ["open", "busy", "limited"] as const) {
        const usable = members.filter(member => member.state === state);
        const inDataCentre = usable.filter(member => member.dataCentre === caller.dataCentre);
        const inRegion = usable.filter(member => member.region === caller.region);
        const nearest = [inDataCentre, inRegion, usable].find(list => list.length > 0);
        if (nearest) {
            return nearest.slice(0, MAX_ADDRESSES).map(member => member.callerAddress);
        }
    }
    return [];
}
