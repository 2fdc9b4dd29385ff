import type { Instance } from "../membership/instance.js";
import { rankInstances } from "../membership/rankInstances.js";
import type { AggregationTree } from "./aggregationTree.js";

const FAN_OUT = 4;

/**
 * Arranges instances in a tree with fan-out 4, ordered by rank: within each data centre, then the data centre roots
 * of each region, then the region roots. Only region roots have a parent in a remote region.
 *
 * @param getRegion Region of a data centre; an unknown data centre is its own region.
 *
 * @param skipped Instances left out of the tree, such as suspected ones.
 */
export function computeAggregationTree(
    instances: readonly Instance[],
    getRegion: (dataCentre: string) => string | undefined,
    skipped: ReadonlySet<string>,
): AggregationTree {
    const parents = new Map<string, string>();
    const present = instances.filter(instance => !skipped.has(instance.name));
    const byDataCentre = mapByKey(present, instance => instance.dataCentre);
    const centreRoots = [...byDataCentre].flatMap(([name, members]) =>
        attachRanked(`centre:${name}`, members, parents)
    );
    const byRegion = mapByKey(
        centreRoots,
        instance => getRegion(instance.dataCentre) ?? instance.dataCentre,
    );
    const regionRoots = [...byRegion].flatMap(([name, members]) =>
        attachRanked(`region:${name}`, members, parents)
    );
    const [root] = attachRanked("fleet", regionRoots, parents);
    return { root: root?.name, parents, depth: computeDepth(present, parents) };
}

function mapByKey(
    instances: readonly Instance[],
    getKey: (instance: Instance) => string,
): ReadonlyMap<string, readonly Instance[]> {
    const groups = new Map<string, Instance[]>();
    for (const instance of instances) {
        const key = getKey(instance);
        groups.set(key, [...groups.get(key) ?? [], instance]);
    }
    return groups;
}

function attachRanked(
    name: string,
    members: readonly Instance[],
    parents: Map<string, string>,
): readonly Instance[] {
    const ranked = rankInstances(`aggregator:${name}`, members);
    for (const [index, instance] of ranked.entries()) {
        const parent = ranked[Math.floor((index - 1) / FAN_OUT)];
        if (index > 0 && parent) {
            parents.set(instance.name, parent.name);
        }
    }
    return ranked.slice(0, 1);
}

function computeDepth(instances: readonly Instance[], parents: ReadonlyMap<string, string>): number {
    let depth = 0;
    for (const instance of instances) {
        let levels = 0;
        for (let name = parents.get(instance.name); name !== undefined; name = parents.get(name)) {
            levels += 1;
        }
        depth = Math.max(depth, levels);
    }
    return depth;
}
