import type { Locality } from "../routing/locality.js";
import { pickByHash } from "../routing/pickByHash.js";

/**
 * Finds the data centre whose instances divide the limits of the targets of a data centre: the same one if it has
 * instances, else one of its region, else any.
 *
 * @param members Places of all known instances.
 */
export function findLimitHome(
    dataCentre: string,
    members: readonly Locality[],
    regionsByDataCentre: ReadonlyMap<string, string>,
): string | undefined {
    if (members.some(member => member.dataCentre === dataCentre)) {
        return dataCentre;
    }
    const region = regionsByDataCentre.get(dataCentre);
    const inRegion = members.filter(member => member.region === region);
    const candidates = inRegion.length > 0 ? inRegion : members;
    return pickByHash(dataCentre, [...new Set(candidates.map(member => member.dataCentre))]);
}
