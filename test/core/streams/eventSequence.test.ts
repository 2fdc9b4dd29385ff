import test from "ava";
import fc from "fast-check";
import { EventSequence } from "../../../src/core/streams/eventSequence.js";

const SEED = 29;
/** Numbers of up to 30 digits, so that many are beyond 2^53. */
const bases = fc.bigInt({ min: 0n, max: 10n ** 30n });
const steps = fc.bigInt({ min: 1n, max: 10n ** 18n });
/** At least two steps, so that their size is known, whether the first one begins at 0 or not. */
const counts = fc.integer({ min: 3, max: 20 });

function createSequence(ids: readonly bigint[], resumesAfter?: bigint): EventSequence {
    const sequence = EventSequence.create(resumesAfter?.toString());
    ids.forEach(id => sequence.add(id.toString()));
    return sequence;
}

function check<T>(values: fc.Arbitrary<T>, holds: (value: T) => boolean): void {
    fc.assert(fc.property(values, holds), { seed: SEED });
}

const evenStreams = fc.record({ base: bases, step: steps, count: counts }).map(({ base, step, count }) => ({
    step,
    ids: Array.from({ length: count }, (_, i) => base + step * BigInt(i + 1)),
}));
const increasing = fc.tuple(bases, fc.array(steps, { minLength: 1, maxLength: 20 })).map(([base, gaps]) => {
    let id = base;
    return gaps.map(gap => id += gap);
});

// Only the last identifier plus 1 was accepted, so that streams with other steps never went on after a crash.
test("even steps: the next event may follow at each place of a stream, whatever the step and the first identifier", t => {
    check(
        evenStreams,
        ({ ids }) => ids.every((id, i) => createSequence(ids.slice(0, i)).mayFollow(id.toString())),
    );
    t.pass(`seed ${SEED}`);
});

test("even steps: a taken-up stream goes on at each place", t => {
    check(
        evenStreams,
        ({ ids }) =>
            ids.every((id, i) => i === 0 || createSequence(ids.slice(1, i), ids[0]).mayFollow(id.toString())),
    );
    t.pass(`seed ${SEED}`);
});

test("even steps: a gap is found once the step is known", t => {
    check(
        fc.tuple(evenStreams, fc.integer({ min: 2, max: 9 })),
        ([{ ids, step }, skipped]) =>
            !createSequence(ids).mayFollow(((ids.at(-1) ?? 0n) + step * BigInt(skipped)).toString()),
    );
    t.pass(`seed ${SEED}`);
});

test("even steps: the last event may have the rest of a step", t => {
    check(
        fc.tuple(evenStreams, steps),
        ([{ ids, step }, rest]) =>
            createSequence(ids).mayFollow(((ids.at(-1) ?? 0n) + rest % step + 1n).toString()),
    );
    t.pass(`seed ${SEED}`);
});

test("any steps: an event that was passed on, and a run that begins anew, are found", t => {
    check(increasing, ids => ids.every(id => !createSequence(ids).mayFollow(id.toString())));
    check(fc.tuple(increasing, bases), ([ids, resumesAfter]) => {
        const [first = 0n] = ids;
        return !createSequence([], resumesAfter + first).mayFollow(first.toString());
    });
    t.pass(`seed ${SEED}`);
});

test("uneven steps: any later event may follow", t => {
    check(fc.tuple(evenStreams, steps), ([{ ids, step }, next]) => {
        const last = (ids.at(-1) ?? 0n) + step + 1n;
        return createSequence([...ids, last]).mayFollow((last + next).toString());
    });
    t.pass(`seed ${SEED}`);
});

test("events numbered from 1: a gap is found after the second one", t => {
    t.true(createSequence([1n, 2n]).mayFollow("3"));
    t.false(createSequence([1n, 2n]).mayFollow("4"));
    // The step is not known yet.
    t.true(createSequence([1n]).mayFollow("7"));
});

test("identifiers beyond 2^53 are compared exactly", t => {
    const last = 2n ** 53n + 1n;
    t.true(createSequence([last - 2n, last - 1n, last]).mayFollow("9007199254740994"));
    t.false(createSequence([last - 2n, last - 1n, last]).mayFollow("9007199254740993"));
    t.false(createSequence([last - 2n, last - 1n, last]).mayFollow("9007199254740995"));
});

test("identifiers that are no numbers: neither the last event nor the first may follow, nor one without an identifier", t => {
    const sequence = EventSequence.create();
    ["a", "b", "c"].forEach(id => sequence.add(id));
    t.deepEqual([undefined, "a", "c", "d", "4"].map(id => sequence.mayFollow(id)), [
        false,
        false,
        false,
        true,
        true,
    ]);
    t.false(EventSequence.create("a").mayFollow("a"));
    t.true(EventSequence.create().mayFollow(undefined));
    t.false(createSequence([1n]).mayFollow("d"));
    t.false(createSequence([1n]).mayFollow(undefined));
});
