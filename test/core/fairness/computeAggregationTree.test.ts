import test from "ava";
import { computeAggregationTree } from "../../../src/core/fairness/computeAggregationTree.js";
import type { Instance } from "../../../src/core/membership/instance.js";

const REGIONS: Readonly<Record<string, string>> = { a: "west", b: "west", c: "east" };

function makeInstances(count: number): readonly Instance[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `instance-${index}`,
        dataCentre: ["a", "b", "c"][index % 3] ?? "a",
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:2",
        operatorAddress: "127.0.0.1:3",
        state: "live" as const,
    }));
}

test("connects every instance to the root without cycles and joins two regions by one link", t => {
    const instances = makeInstances(200);
    const tree = computeAggregationTree(instances, name => REGIONS[name], new Set());
    t.is(tree.parents.size, instances.length - 1);
    t.true(tree.depth <= 8);
    const regionOf = (name: string): string | undefined =>
        REGIONS[instances.find(instance => instance.name === name)?.dataCentre ?? ""];
    const crossing = [...tree.parents].filter(([child, parent]) => regionOf(child) !== regionOf(parent));
    t.is(crossing.length, 1);
});

test("skips a suspected parent and assigns its children another one", t => {
    const instances = makeInstances(30);
    const { root } = computeAggregationTree(instances, name => REGIONS[name], new Set());
    const tree = computeAggregationTree(instances, name => REGIONS[name], new Set([root ?? ""]));
    t.not(tree.root, root);
    t.false([...tree.parents.keys(), ...tree.parents.values()].includes(root ?? ""));
    t.is(tree.parents.size, instances.length - 2);
});
