import test, { type ExecutionContext } from "ava";
import { setImmediate } from "node:timers/promises";
import { createRandom } from "../../../src/standIns/client/createRandom.js";
import { createStreamDay } from "../../testing/streams/createStreamDay.js";

const SEEDS = [1, 2, 3];

/** Adds a test after which the runner sees its result: all of them take seconds without a pause. */
function addTest(title: string, run: (t: ExecutionContext) => void): void {
    test.serial(title, async t => {
        await setImmediate();
        run(t);
    });
}

for (const instances of [7, 90, 300]) {
    for (const seed of SEEDS) {
        const name = `${instances} instances, seed ${seed}`;

        addTest(
            `${name}: send nothing while one version has been there for longer than a stream lasts`,
            t => {
                const { fleet, runTraffic } = createStreamDay(instances, seed);
                Object.assign(fleet.sent, { messages: 0, bytes: 0 });
                runTraffic(fleet.now + 14_000);
                t.deepEqual(fleet.sent, { messages: 0, bytes: 0 });
                t.deepEqual(fleet.wrong, []);
                t.is(fleet.inTouch.unknown, 0);
            },
        );

        // An instance may end before what it has seen is known elsewhere.
        addTest(`${name}: find where streams began whose instance ended right after the first event`, t => {
            const { fleet, runTraffic, setVersions, endInstances } = createStreamDay(instances, seed);
            setVersions(["v1", "v2"]);
            runTraffic(fleet.now + 10_000);
            Object.assign(fleet.inTouch, { found: 0, unknown: 0 });
            const getRandom = createRandom(seed + 10);
            for (
                const delayMs of Array.from({ length: instances < 300 ? 8 : 4 }, () => [0, 1, 40, 200]).flat()
            ) {
                const index = Math.floor(getRandom() * instances);
                const streams = [0, 1].flatMap(() => fleet.startStream(index) ?? []);
                fleet.run(fleet.now + delayMs);
                endInstances(i => i === index, 2000);
                for (const stream of streams) {
                    [1, 2].forEach(i =>
                        fleet.schedule(i * 800, () => fleet.takeUp((index + i) % instances, stream))
                    );
                }
                fleet.run(fleet.now + 3000);
            }
            t.deepEqual(fleet.wrong, []);
            t.true(fleet.inTouch.found > fleet.inTouch.unknown * 9, JSON.stringify(fleet.inTouch));
        });

        // Instances that are cut off go on serving with the list that they had, and may take a version for the only one.
        addTest(
            `${name}: name no other version while a data centre is cut off and a version replaces another`,
            t => {
                for (const changeMs of instances < 300 ? [2100, 3500] : [2000 + seed * 100]) {
                    const cut = { fromMs: 2000, untilMs: 14_000 };
                    const { fleet, runTraffic, setVersions } = createStreamDay(instances, seed, cut);
                    const start = fleet.now;
                    runTraffic(start + changeMs);
                    setVersions(["v2"]);
                    runTraffic(start + changeMs + 1500, 20);
                    runTraffic(start + 16_000);
                    t.deepEqual(fleet.wrong, [], `${changeMs}`);
                }
            },
        );

        addTest(`${name}: name no other version while a data centre is cut off and versions change`, t => {
            const changes = [1700, 2100, 2900, 4400];
            for (const changeMs of instances < 300 ? changes : changes.slice(seed, seed + 1)) {
                const cut = { fromMs: 2000, untilMs: 16_000 };
                const { fleet, runTraffic, setVersions } = createStreamDay(instances, seed, cut);
                const start = fleet.now;
                runTraffic(start + changeMs);
                setVersions(["v1", "v2"]);
                runTraffic(start + changeMs + 4000, 6);
                setVersions(["v2"]);
                runTraffic(start + 26_000);
                t.deepEqual(fleet.wrong, [], `${changeMs}`);
                t.true(fleet.inTouch.found > fleet.inTouch.unknown, JSON.stringify(fleet.inTouch));
            }
        });
    }

    addTest(`${instances} instances with 45 streams a second each send less than 4 KB/s for origins`, t => {
        const { fleet, setVersions } = createStreamDay(instances, 1);
        const serve = (seconds: number): { readonly messages: number; readonly bytesPerSecond: number; } => {
            Object.assign(fleet.sent, { messages: 0, bytes: 0 });
            for (const until = fleet.now + seconds * 1000; fleet.now < until; fleet.run(fleet.now + 200)) {
                for (let i = 0; i < instances * 9; i += 1) {
                    const stream = fleet.startStream(i % instances);
                    if (stream && i % 50 === 0) {
                        fleet.schedule(300, () => fleet.takeUp((i + 1) % instances, stream));
                    }
                }
            }
            const { messages, bytes } = fleet.sent;
            return { messages: messages / instances / seconds, bytesPerSecond: bytes / instances / seconds };
        };
        t.is(serve(4).messages, 0);
        setVersions(["v1", "v2"]);
        t.log("a new version, 2 s", serve(2));
        const steady = serve(2);
        t.log("two versions", steady);
        t.true(steady.bytesPerSecond < 4000);
        t.deepEqual(fleet.wrong, []);
    });
}
