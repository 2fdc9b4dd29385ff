import test from "ava";
import { pickWeightedSubset } from "../../../src/core/routing/pickWeightedSubset.js";

const LARGE_WEIGHT = 1.35;
const SMALL_WEIGHT = 0.324;
const LIST_SIZE = 64;
const CALLERS = Array.from({ length: 200 }, (_, i) => `caller-${i}`);
const INSTANCES = Array.from(
    { length: 300 },
    (_, i) => ({ name: `instance-${i}`, weight: i < 30 ? LARGE_WEIGHT : SMALL_WEIGHT }),
);

test("hundreds of machines: every instance is in the lists of some callers, the larger ones in more of them", t => {
    const counts = new Map(INSTANCES.map(({ name }) => [name, 0]));
    for (const caller of CALLERS) {
        const subset = pickWeightedSubset(INSTANCES, caller, LIST_SIZE);
        t.is(new Set(subset).size, LIST_SIZE);
        subset.forEach(({ name }) => counts.set(name, (counts.get(name) ?? 0) + 1));
    }
    t.true([...counts.values()].every(count => count > 0));
    const sum = (isLarge: boolean): number =>
        INSTANCES.filter(({ weight }) => (weight === LARGE_WEIGHT) === isLarge)
            .reduce((total, { name }) => total + (counts.get(name) ?? 0), 0);
    t.true(sum(true) / 30 > 2 * (sum(false) / 270));
});

test("hundreds of machines: the loss of an instance changes at most one entry of a caller's list", t => {
    for (const caller of CALLERS) {
        const before = pickWeightedSubset(INSTANCES, caller, LIST_SIZE);
        const after = pickWeightedSubset(INSTANCES.slice(1), caller, LIST_SIZE);
        t.true(after.filter(item => !before.includes(item)).length <= 1);
    }
});
