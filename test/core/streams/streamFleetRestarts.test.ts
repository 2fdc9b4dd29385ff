import test, { type ExecutionContext } from "ava";
import { setImmediate } from "node:timers/promises";
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

        for (
            const [what, isEnded, isAll] of [
                ["a data centre", (i: number) => i % 3 === 0, false],
                ["half of all instances", (i: number) => i % 2 === 0, false],
                ["all instances", () => true, true],
            ] as const
        ) {
            // What an instance knew is lost with its process; a version that has left the list since then is not seen again.
            addTest(`${name}: name no other version after ${what} ended and came back`, t => {
                const { fleet, runTraffic, setVersions, endInstances } = createStreamDay(instances, seed);
                const start = fleet.now;
                setVersions(["v1", "v2"]);
                runTraffic(start + 8000);
                endInstances(isEnded, 2000);
                runTraffic(start + 10_000);
                setVersions(["v2"]);
                runTraffic(start + 12_000);
                endInstances(i => isEnded(i + 1), 1000);
                runTraffic(start + 24_000);
                t.deepEqual(fleet.wrong, []);
                t.true(isAll || fleet.inTouch.found > fleet.inTouch.unknown, JSON.stringify(fleet.inTouch));
            });
        }

        addTest(`${name}: name no other version while versions replace each other again and again`, t => {
            const { fleet, runTraffic, setVersions } = createStreamDay(instances, seed);
            const pausesMs = [700, 1500, 3000, 17_500, 19_500, 2000];
            for (const [i, pauseMs] of (instances < 300 ? pausesMs : pausesMs.slice(2, 4)).entries()) {
                setVersions(i % 2 === 0 ? ["v2"] : ["v1"], i + 10);
                runTraffic(fleet.now + Math.min(pauseMs, 1000), 30);
                runTraffic(fleet.now + Math.max(0, pauseMs - 1000));
            }
            t.deepEqual(fleet.wrong, []);
            t.true(fleet.inTouch.found > fleet.inTouch.unknown, JSON.stringify(fleet.inTouch));
        });
    }
}
