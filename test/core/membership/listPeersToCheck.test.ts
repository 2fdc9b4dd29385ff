import test from "ava";
import type { ClusterView } from "../../../src/core/membership/clusterView.js";
import { isReader } from "../../../src/core/membership/isReader.js";
import { listPeersToCheck } from "../../../src/core/membership/listPeersToCheck.js";

function makeViewBySize(
    sizes: Readonly<Record<string, number>>,
    suspected: readonly string[] = [],
): ClusterView {
    const instances = Object.entries(sizes).flatMap(([dataCentre, count]) =>
        Array.from({ length: count }, (_, index) => ({
            name: `${dataCentre}-${index}`,
            dataCentre,
            callerAddress: "",
            peerAddress: "",
            operatorAddress: "",
            state: "live" as const,
        }))
    );
    return {
        configurationRevision: -1,
        configurationDigest: "",
        index: undefined,
        instances: { revision: 1, instances },
        instancesAdoptedAt: 0,
        suspected: new Set(suspected),
        leaving: new Set(),
    };
}

function listReaders(view: ClusterView): readonly string[] {
    return view.instances.instances
        .filter(instance => isReader(view, instance.name, instance.dataCentre))
        .map(instance => instance.name);
}

test("gives a data centre two readers and replaces suspected ones", t => {
    const readers = listReaders(makeViewBySize({ a: 20 }));
    t.is(readers.length, 2);
    const replaced = listReaders(makeViewBySize({ a: 20 }, readers));
    t.is(replaced.length, 2);
    t.false(replaced.some(name => readers.includes(name)));
});

test("spreads a change to every instance in two checks, whichever peers are picked", t => {
    const view = makeViewBySize({ a: 137, b: 137 });
    const { instances } = view.instances;
    let informed = new Set(listReaders(view));
    for (let round = 0; round < 2; round += 1) {
        const next = instances.filter(instance =>
            informed.has(instance.name)
            || listPeersToCheck(view, instance.name, instance.dataCentre).every(peer =>
                informed.has(peer.name)
            )
        );
        informed = new Set(next.map(instance => instance.name));
    }
    t.is(informed.size, instances.length);
});

test("lists at least one peer for every instance of a fleet of two or more", t => {
    for (
        const view of [
            makeViewBySize({ a: 2 }),
            makeViewBySize({ a: 1, b: 1 }),
            makeViewBySize({ a: 3, b: 1 }, ["b-0"]),
        ]
    ) {
        for (const instance of view.instances.instances) {
            t.true(listPeersToCheck(view, instance.name, instance.dataCentre).length > 0, instance.name);
        }
    }
    t.true(listPeersToCheck(makeViewBySize({ a: 2 }), "not-listed", "c").length > 0);
});
