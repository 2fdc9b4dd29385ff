import test from "ava";
import type { Instance } from "../../../src/core/membership/instance.js";
import { rankInstances } from "../../../src/core/membership/rankInstances.js";

function makeInstances(count: number): readonly Instance[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `instance-${index}`,
        dataCentre: "caerdydd-a",
        callerAddress: "127.0.0.1:1",
        peerAddress: "127.0.0.1:2",
        operatorAddress: "127.0.0.1:3",
        state: "live" as const,
    }));
}

test("moves only the keys of a removed instance that ranked first for them", t => {
    const instances = makeInstances(20);
    const remaining = instances.slice(1);
    for (let key = 0; key < 200; key += 1) {
        const before = rankInstances(`key-${key}`, instances)[0];
        const after = rankInstances(`key-${key}`, remaining)[0];
        if (before?.name !== "instance-0") {
            t.is(after?.name, before?.name);
        }
    }
});
