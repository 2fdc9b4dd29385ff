import { computeAggregationTree } from "../../core/fairness/computeAggregationTree.js";
import { listLenders } from "../../core/lease/listLenders.js";
import { listOwners } from "../../core/lease/listOwners.js";
import { makeScaleView } from "./makeScaleView.js";

/** Counts how the production code places the roles of 264 pools and of the aggregation tree on instances. */
export function countRoles(instances: number): Readonly<Record<string, number>> {
    const view = makeScaleView(instances);
    const getRegion = (name: string): string | undefined => view.index?.dataCentres.get(name)?.region;
    const tree = computeAggregationTree(view.instances.instances, getRegion, view.suspected);
    const children = countNames([...tree.parents.values()]);
    const pools = [...view.index?.services.keys() ?? []].flatMap(service =>
        [...view.index?.dataCentres.keys() ?? []].map(dataCentre => ({ service, dataCentre }))
    );
    const owners = countNames(
        pools.map(({ service, dataCentre }) => listOwners(view, service, dataCentre)[0] ?? ""),
    );
    const lenders = countNames(
        pools.flatMap(({ service, dataCentre }) => listLenders(view, service, dataCentre)),
    );
    return {
        "roles.pools": pools.length,
        "roles.treeDepth": tree.depth,
        "roles.interiorNodes": children.size,
        "roles.maxChildren": Math.max(...children.values()),
        "roles.owners": owners.size,
        "roles.maxPoolsOfOwner": Math.max(...owners.values()),
        "roles.lenders": lenders.size,
        "roles.maxPoolsOfLender": Math.max(...lenders.values()),
    };
}

function countNames(names: readonly string[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const name of names) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}
