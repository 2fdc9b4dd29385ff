import type { Locality } from "./locality.js";

/** Lists the members in a data centre; if there are none, those in its region, and if there are none either, all. */
export function listNearestMembers<T extends Locality>(
    members: readonly T[],
    dataCentre: string,
    regionsByDataCentre: ReadonlyMap<string, string>,
): readonly T[] {
    const region = regionsByDataCentre.get(dataCentre);
    const local = members.filter(member => member.dataCentre === dataCentre);
    const inRegion = members.filter(member => member.region === region);
    return [local, inRegion].find(list => list.length > 0) ?? members;
}
