import test from "ava";
import { createRandom } from "../../src/standIns/client/createRandom.js";
import { runRestoredFleet } from "../testing/platform/restoredFleet.js";
import { SimulatedStore } from "../testing/platform/simulatedStore.js";
import { SimulatedClock } from "../testing/simulatedClock.js";

const TARGETS = 6;
/** Time after the last fault within which all instances must agree with the store. */
const CATCH_UP_MS = 9000;

interface Registration {
    sequence: number;
    state: "ready" | "draining" | "gone";
}

function describeTarget({ sequence, state }: Registration): object | undefined {
    return state === "gone"
        ? undefined
        : { service: "s", address: "10.0.0.1:1", zone: "a", slots: 1, state, sequence, born: 1 };
}

function createSetting(seed: number, count = 3): {
    clock: SimulatedClock;
    store: SimulatedStore;
    instances: ReturnType<typeof runRestoredFleet>;
    random: () => number;
} {
    const clock = SimulatedClock.create();
    const store = SimulatedStore.create(clock);
    const random = createRandom(seed);
    const instances = runRestoredFleet({ clock, store, getRandom: random, count });
    return { clock, store, instances, random };
}

function listTargets(
    instance: ReturnType<typeof runRestoredFleet>[number],
    now: number,
): Readonly<Record<string, boolean>> {
    return Object.fromEntries(instance.targets.list(now).map(({ id, isDraining }) => [id, isDraining]));
}

// Cuts, outages and restores at random moments; what the store has lost is written again some time after.
test("instances behind cuts and restores agree with the store again, and never go back behind what they knew", async t => {
    for (let seed = 1; seed <= 12; seed += 1) {
        const { clock, store, instances, random } = createSetting(seed);
        const registrations = Array.from(
            { length: TARGETS },
            (): Registration => ({ sequence: 1, state: "ready" }),
        );
        let version = 1;
        const writeTarget = (i: number): void => {
            const registration = registrations[i] ?? { sequence: 0, state: "gone" };
            store.write(`servers/t${i}`, describeTarget(registration));
        };
        registrations.forEach((_, i) => writeTarget(i));
        store.write("op/config", { version });
        const newest = instances.map(() => new Map<string, number>());
        const checkOrder = (message: string): void => {
            instances.forEach((instance, k) => {
                for (const { id, sequence } of instance.targets.list(clock.now)) {
                    t.true(sequence >= (newest[k]?.get(id) ?? 0), message);
                    newest[k]?.set(id, sequence);
                }
            });
        };
        const copies = [store.contents];
        let rewriteAt = Number.POSITIVE_INFINITY;
        for (let now = 1000; now < 40_000; now += 250) {
            await clock.run(now);
            checkOrder(`seed ${seed} at ${now}`);
            const event = random();
            const i = Math.floor(random() * TARGETS);
            const registration = registrations[i];
            if (event < 0.25 && registration && !store.isDown) {
                registration.sequence += 1;
                registration.state = (["ready", "draining", "gone"] as const)[Math.floor(random() * 3)]
                    ?? "ready";
                writeTarget(i);
            }
            else if (event < 0.4 && !store.isDown && rewriteAt > 1e9) {
                version += 1;
                store.write("op/config", { version });
            }
            else if (event < 0.5) {
                const instance = instances[Math.floor(random() * instances.length)];
                if (instance) {
                    instance.isReachable = !instance.isReachable;
                }
            }
            else if (event < 0.56 && rewriteAt > 1e9) {
                store.recover(
                    copies[Math.max(0, copies.length - 1 - Math.floor(random() * 24))] ?? store.contents,
                );
                rewriteAt = now + random() * 1500;
            }
            if (now >= rewriteAt) {
                rewriteAt = Number.POSITIVE_INFINITY;
                store.write("op/config", { version });
                registrations.forEach((known, k) => {
                    known.sequence += 1;
                    writeTarget(k);
                });
            }
            copies.push(store.contents);
        }
        store.write("op/config", { version });
        registrations.forEach((_, i) => writeTarget(i));
        instances.forEach(instance => instance.isReachable = true);
        await clock.run(40_000 + CATCH_UP_MS);
        const expected = Object.fromEntries(
            registrations.flatMap(({ state }, i) =>
                state === "gone" ? [] : [[`t${i}`, state === "draining"]]
            ),
        );
        for (const instance of instances) {
            t.deepEqual(listTargets(instance, clock.now), expected, `seed ${seed}`);
            t.is(Math.max(...instance.versions), version, `seed ${seed}`);
            instance.stop();
        }
    }
});

test("a follower and its reader on two sides of a restore: neither takes the older side", async t => {
    const { clock, store, instances } = createSetting(1, 2);
    store.write("servers/t0", describeTarget({ sequence: 1, state: "ready" }));
    store.write("op/config", { version: 1 });
    const copy = store.contents;
    await clock.run(2000);
    store.write("servers/t0", describeTarget({ sequence: 2, state: "draining" }));
    store.write("op/config", { version: 2 });
    await clock.run(5000);
    const [reader, follower] = instances;
    if (!reader || !follower) {
        t.fail("no instances");
        return;
    }
    // The reader cannot reach the store any more and goes on relaying what it has.
    reader.isReachable = false;
    store.recover(copy);
    store.write("servers/t1", describeTarget({ sequence: 1, state: "ready" }));
    await clock.run(10_000);
    t.deepEqual(listTargets(follower, clock.now), { t0: true, t1: false });
    t.deepEqual(listTargets(reader, clock.now), { t0: true });
    reader.isReachable = true;
    await clock.run(13_000);
    t.deepEqual(listTargets(reader, clock.now), { t0: true, t1: false });
    instances.forEach(instance => instance.stop());
});

// A target that is gone for good and still listed after the restore expires there; one that is listed for longer is live.
test("believes a restored store as it is once targets and operators had time to write again", async t => {
    const { clock, store, instances } = createSetting(1, 1);
    store.write("servers/t0", describeTarget({ sequence: 1, state: "ready" }));
    store.write("op/evacuate/b", {});
    const copy = store.contents;
    await clock.run(2000);
    store.write("servers/t0", undefined);
    store.write("op/evacuate/b", undefined);
    store.write("op/evacuate/c", {});
    await clock.run(4000);
    const [instance] = instances;
    if (!instance) {
        t.fail("no instance");
        return;
    }
    store.recover(copy);
    await clock.run(7000);
    t.deepEqual(listTargets(instance, clock.now), {});
    t.deepEqual([...instance.evacuated], ["c"]);
    await clock.run(12_000);
    t.deepEqual(listTargets(instance, clock.now), { t0: false });
    t.deepEqual([...instance.evacuated], ["b"]);
    instance.stop();
});

// A key may have been withdrawn by the configuration that the copy lacks.
test("confirms no configuration by a copy that lacks the newest one, until it is written again", async t => {
    for (const rewriteAt of [6000, undefined]) {
        const { clock, store, instances } = createSetting(1, 1);
        store.write("op/config", { version: 1 });
        const copy = store.contents;
        await clock.run(2000);
        store.write("op/config", { version: 2 });
        await clock.run(4000);
        store.recover(copy);
        await clock.run(6000);
        if (rewriteAt !== undefined) {
            store.write("op/config", { version: 2 });
        }
        await clock.run(14_000);
        const confirmations = instances[0]?.confirmations ?? [];
        const resumedAt = confirmations.find(at => at > 4000) ?? 0;
        t.true(confirmations.every(at => at <= 4000 || at >= 6000), confirmations.join());
        t.true(
            rewriteAt === undefined ? resumedAt >= 8000 && resumedAt < 11_000 : resumedAt < 8000,
            String(resumedAt),
        );
        t.is(Math.max(...instances[0]?.versions ?? []), 2);
        instances[0]?.stop();
    }
});

test("logs a restore once, with what was known before, and what it did not adopt", async t => {
    const { clock, store, instances } = createSetting(1, 1);
    store.write("servers/t0", describeTarget({ sequence: 1, state: "ready" }));
    const copy = store.contents;
    await clock.run(1000);
    store.write("servers/t0", describeTarget({ sequence: 2, state: "draining" }));
    await clock.run(3000);
    store.recover(copy);
    await clock.run(6000);
    const events = instances[0]?.events ?? [];
    t.deepEqual(events.filter(({ event }) => event === "store-restored"), [
        { event: "store-restored", era: 2, revision: 2, known: { era: 1, revision: 3 } },
    ]);
    t.true(events.some(({ event, state }) => event === "target-changed" && state === "outdated"));
    instances[0]?.stop();
});

test("keeps a live target that the copy lacks until it has registered again", async t => {
    const { clock, store, instances } = createSetting(1, 1);
    const copy = store.contents;
    store.write("servers/t0", describeTarget({ sequence: 1, state: "ready" }));
    await clock.run(3000);
    store.recover(copy);
    for (let now = 3100; now <= 8000; now += 100) {
        if (now === 4500) {
            store.write("servers/t0", describeTarget({ sequence: 2, state: "ready" }));
        }
        await clock.run(now);
        t.deepEqual(listTargets(instances[0] ?? t.fail() as never, now), { t0: false }, String(now));
    }
    instances[0]?.stop();
});
