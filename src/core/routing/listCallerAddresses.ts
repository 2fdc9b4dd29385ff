import type { MemberRecord } from "./memberRecord.js";
import type { Place } from "./place.js";

/** A longer list is of no use to a caller, and the platform limits it to this many addresses. */
const MAX_ADDRESSES = 64;

/**
 * Lists the addresses that a caller should use, by its locality: open instances of its data centre, else of its region.
 * Busy instances of the region come before open ones of another, because links between regions are slow and billed, and
 * requests may have to stay in their region. Instances that only accept requests without a key are the last resort.
 */
export function listCallerAddresses(members: readonly MemberRecord[], caller: Place): readonly string[] {
    const isNear = (member: MemberRecord): boolean => member.dataCentre === caller.dataCentre;
    const isInRegion = (member: MemberRecord): boolean => member.region === caller.region;
    const list = (state: MemberRecord["state"]): readonly MemberRecord[] =>
        members.filter(member => member.state === state);
    const [open, busy, limited] = [list("open"), list("busy"), list("limited")];
    const near = open.filter(isNear);
    const nearBusy = busy.filter(isNear);
    const pools = [
        // If most instances of the data centre are busy, the few open ones could not carry the load of all.
        near.length > 0 && nearBusy.length > near.length ? [...open.filter(isInRegion), ...nearBusy] : near,
        open.filter(isInRegion),
        busy.filter(isInRegion),
        open,
        busy,
        limited.filter(isNear),
        limited.filter(isInRegion),
        limited,
    ];
    const pool = pools.find(candidates => candidates.length > 0) ?? [];
    return pool.slice(0, MAX_ADDRESSES).map(member => member.callerAddress);
}
