import type { SpillMember } from "./spillMember.js";

/**
 * Divides the headroom of a data centre among the instances that would use it, by weight. Every instance divides it by the
 * same reports, so that no message is needed.
 *
 * @param destination Data centre whose headroom is divided.
 * @param shortDataCentres Data centres that lack capacity; if the own one is not among them, all other instances count.
 * @returns Share of this instance, from 0 to 1.
 */
export function computeHeadroomShare(
    destination: string,
    self: SpillMember,
    members: readonly SpillMember[],
    shortDataCentres: ReadonlySet<string>,
): number {
    const isShort = shortDataCentres.has(self.dataCentre);
    let total = 0;
    for (const { dataCentre, weight } of members) {
        if (dataCentre !== destination && (!isShort || shortDataCentres.has(dataCentre))) {
            total += weight;
        }
    }
    return total > 0 ? self.weight / total : 0;
}
