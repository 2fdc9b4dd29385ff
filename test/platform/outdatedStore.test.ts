import test from "ava";
import { TargetDirectory } from "../../src/core/routing/targetDirectory.js";
import { StoreFollower } from "../../src/platform/storeFollower.js";
import type { LogSink } from "../../src/router/logSink.js";
import { SimulatedClock } from "../testing/simulatedClock.js";

// A response from before a restore, or from a copy that is behind, would bring back what is no longer true.
test("takes contents that are older than what is known for a failure of the store", async t => {
    const clock = SimulatedClock.create();
    const targets = TargetDirectory.create(4000);
    const events: string[] = [];
    let reads = 0;
    const follower = StoreFollower.create({
        source: async () => {
            await clock.wait(10);
            reads += 1;
            const [era, revision] = [[2, 20], [1, 40], [2, 15], [2, 21]][reads - 1] ?? [2, 21];
            return {
                changes: reads === 1 ? [] : [{ key: `op/evacuate/${reads}`, revision: 1, value: "e30=" }],
                isWhole: true,
                era: era ?? 0,
                revision: revision ?? 0,
                confirmedAt: clock.now,
                confirmedTimeOfDay: 0,
            };
        },
        targetDirectory: targets,
        log: { write: (event: string) => events.push(event) } as unknown as LogSink,
        getNow: () => clock.now,
        getRandom: () => 0,
        wait: ms => clock.wait(ms),
        onConfiguration: () => undefined,
        onTargets: () => undefined,
        onEvacuated: dataCentres => events.push(`evacuated ${[...dataCentres].join()}`),
        onConfirmed: () => undefined,
    });
    void follower.run();
    await clock.run(2500);
    follower.stop();
    t.is(events.filter(event => event === "store-outdated").length, 2);
    t.deepEqual(events.filter(event => event.startsWith("evacuated")).slice(0, 2), [
        "evacuated ",
        "evacuated 4",
    ]);
});
