import test from "ava";
import fc from "fast-check";
import { createHash } from "node:crypto";
import type { AcceptedBundle } from "../../../src/core/configuration/acceptedBundle.js";
import { applyConfigurationDelta } from "../../../src/core/configuration/applyConfigurationDelta.js";
import { buildBundle } from "../../../src/core/configuration/buildBundle.js";
import { checkBundle } from "../../../src/core/configuration/checkBundle.js";
import { checkDelta } from "../../../src/core/configuration/checkDelta.js";
import type { Configuration } from "../../../src/core/configuration/configuration.js";
import { describeConfigurationChange } from "../../../src/core/configuration/describeConfigurationChange.js";
import { diffConfiguration } from "../../../src/core/configuration/diffConfiguration.js";
import { mergeDeltas } from "../../../src/core/configuration/mergeDeltas.js";
import { makeConfiguration } from "../../../src/testing/makeConfiguration.js";

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");
const acceptBundle = (configuration: Configuration): AcceptedBundle => ({
    ...buildBundle(configuration, 1, hashText),
    effective: configuration,
});
const [target] = makeConfiguration().targets;
const configurations = fc.uniqueArray(
    fc.record({ name: fc.constantFrom("e0", "e1", "e2", "e3"), slotLimit: fc.integer({ min: 1, max: 3 }) }),
    { selector: object => object.name },
).map(objects =>
    makeConfiguration({ targets: objects.flatMap(object => target ? [{ ...target, ...object }] : []) })
);

test("merges consecutive deltas into one that results in the digest of the last bundle", t => {
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

test("accepts the same bundle from a delta as from the whole and rejects a delta for another base", t => {
    fc.assert(
        fc.property(configurations, configurations, configurations, (first, second, other) => {
            const bundle = buildBundle(second, 2, hashText);
            const delta = diffConfiguration(first, second);
            const check = checkDelta(acceptBundle(first), delta, bundle, hashText);
            const mismatch = checkDelta(acceptBundle(other), delta, { ...bundle, digest: "" }, hashText);
            t.deepEqual(check.bundle?.effective, checkBundle(bundle, hashText).bundle?.effective);
            t.is(mismatch.bundle, undefined);
        }),
        { seed: 7 },
    );
});

test("describes added, changed and removed objects in words", t => {
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
