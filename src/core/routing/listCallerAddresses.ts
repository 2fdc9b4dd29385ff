import type { Locality } from "./locality.js";
import type { MemberRecord } from "./memberRecord.js";
import { pickWeightedSubset } from "./pickWeightedSubset.js";

/** A longer list is of no use to a caller, and the platform limits it to this many addresses. */
const MAX_ADDRESSES = 64;

/**
 * Lists the addresses that a caller should use, by its locality: open instances of its data centre, else of its region.
 * Busy instances of the region come before open ones of another, because links between regions are slow and billed, and
 * requests may have to stay in their region. Instances that only accept requests without a key are the last resort.
 *
 * @param callerKey Identifies the caller; a list that is too long is cut for each caller to a subset of its own.
 */
export function listCallerAddresses(
    members: readonly MemberRecord[],
    caller: Locality,
    callerKey = "",
): readonly string[] {
    const isLocal = (member: MemberRecord): boolean => member.dataCentre === caller.dataCentre;
    const isInRegion = (member: MemberRecord): boolean => member.region === caller.region;
    const listByState = (state: MemberRecord["state"]): readonly MemberRecord[] =>
        members.filter(member => member.state === state);
    const [open, busy, limited] = [listByState("open"), listByState("busy"), listByState("limited")];
    const localOpen = open.filter(isLocal);
    const localBusy = busy.filter(isLocal);
    const groups = [
        // If most instances of the data centre are busy, the few open ones could not carry the load of all.
        localOpen.length > 0 && localBusy.length > localOpen.length
            ? [...open.filter(isInRegion), ...localBusy]
            : localOpen,
        open.filter(isInRegion),
        busy.filter(isInRegion),
        open,
        busy,
        limited.filter(isLocal),
        limited.filter(isInRegion),
        limited,
    ];
    const group = groups.find(candidates => candidates.length > 0) ?? [];
    return pickWeightedSubset(group, callerKey, MAX_ADDRESSES).map(member => member.callerAddress);
}
