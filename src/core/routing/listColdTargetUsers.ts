import type { MemberRecord } from "./memberRecord.js";

/** Lists the instances that may send to a cold target: those in its data centre, else in its region, else all. */
export function listColdTargetUsers(
    members: readonly MemberRecord[],
    dataCentre: string,
    regionsByDataCentre: ReadonlyMap<string, string>,
): readonly MemberRecord[] {
    const region = regionsByDataCentre.get(dataCentre);
    const local = members.filter(member => member.dataCentre === dataCentre);
    const inRegion = members.filter(member => member.region === region);
    return [local, inRegion].find(list => list.length > 0) ?? members;
}
