import type { Target } from "../configuration/target.js";
import type { Instance } from "../membership/instance.js";
import { rankInstances } from "../membership/rankInstances.js";

/**
 * Returns the static quota of each target's slots that an instance has without leases, by target name: the slot
 * limit divided by the number of instances. The remainder is spread over the highest ranked instances, one slot
 * each, so the quotas of all instances add up to the limit. An instance that is not listed gets 0.
 */
export function computeStaticQuotas(
    targets: readonly Target[],
    instances: readonly Instance[],
    instance: string,
): ReadonlyMap<string, number> {
    return new Map(targets.map(target => {
        const ranked = rankInstances(`slots:${target.name}`, instances);
        const rank = ranked.findIndex(candidate => candidate.name === instance);
        const quota = Math.floor(target.slotLimit / Math.max(1, ranked.length));
        const hasExtra = rank < target.slotLimit % Math.max(1, ranked.length);
        return [target.name, rank < 0 ? 0 : quota + (hasExtra ? 1 : 0)];
    }));
}
