import { listNearestMembers } from "../routing/listNearestMembers.js";
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
    const nearest = listNearestMembers(members, dataCentre, regionsByDataCentre);
    return pickByHash(dataCentre, [...new Set(nearest.map(member => member.dataCentre))]);
}
