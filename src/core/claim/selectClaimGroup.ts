import type { Instance } from "../membership/instance.js";
import { rankInstances } from "../membership/rankInstances.js";

const GROUP_SIZE = 5;

/**
 * Returns the holders of a key. They are selected in rounds, each of which takes the highest-ranked remaining instance
 * of every data centre in rank order, so that the loss of a data centre costs as few holders as possible.
 */
export function selectClaimGroup(key: string, instances: readonly Instance[]): readonly Instance[] {
    const ranked = rankInstances(`claim:${key}`, instances);
    const taken = new Map<string, number>();
    return ranked
        .map(instance => {
            const round = taken.get(instance.dataCentre) ?? 0;
            taken.set(instance.dataCentre, round + 1);
            return { instance, round };
        })
        .toSorted((a, b) => a.round - b.round)
        .slice(0, GROUP_SIZE)
        .map(entry => entry.instance);
}
