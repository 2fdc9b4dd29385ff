import test from "ava";
import fc from "fast-check";
import { createHash } from "node:crypto";
import { applyConfigurationDelta } from "../../../src/core/configuration/applyConfigurationDelta.js";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import { describeConfigurationChange } from "../../../src/core/configuration/describeConfigurationChange.js";
import { diffConfiguration } from "../../../src/core/configuration/diffConfiguration.js";
import { mergeDeltas } from "../../../src/core/configuration/mergeDeltas.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");
const [target] = makeConfiguration().targets;
const configurations = fc.uniqueArray(
    fc.record({ name: fc.constantFrom("e0", "e1", "e2", "e3"), slotLimit: fc.integer({ min: 1, max: 3 }) }),
    { selector: object => object.name },
).map(objects =>
    makeConfiguration({ targets: objects.flatMap(object => target ? [{ ...target, ...object }] : []) })
);

test("merged deltas lead to the bundle that was published, whatever changed in between", t => {
    fc.assert(
        fc.property(configurations, configurations, configurations, (first, second, third) => {
            const delta = mergeDeltas([diffConfiguration(first, second), diffConfiguration(second, third)]);
            const result = applyConfigurationDelta(first, JSON.parse(JSON.stringify(delta)) as typeof delta);
            return buildBundle(result, 2, hashText).digest === buildBundle(third, 2, hashText).digest;
        }),
        { seed: 7 },
    );
    t.pass();
});

test("a change is told in words", t => {
    const before = makeConfiguration();
    const after = makeConfiguration({
        targets: target
            ? [{ ...target, slotLimit: 16, inService: false }, { ...target, name: "engine-1" }]
            : [],
        shares: [],
    });
    t.deepEqual(
        diffConfiguration(before, after).map(change => describeConfigurationChange(change, before)),
        [
            "share standard: removed",
            "target engine-0: taken out of service, slotLimit from 8 to 16",
            "target engine-1: added",
        ],
    );
});
