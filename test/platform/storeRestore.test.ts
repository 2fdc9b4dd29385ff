import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

type FleetTarget = CooperativeFleet["targets"][number];

/** Time in which the router reads the restored store several times, shorter than the time it takes to write it again. */
const OBSERVED_MS = 2500;

async function createFollowedFleet(t: ExecutionContext): Promise<CooperativeFleet> {
    const fleet = await createRouterFleet(t);
    await waitForChanges(fleet);
    return fleet;
}

async function waitForChanges(fleet: CooperativeFleet): Promise<void> {
    await waitUntil("the instance has applied all changes", () => Promise.resolve(fleet.store.isFollowed));
}

/** Sends requests for a while and counts those that reach the given targets. */
async function countArrivals(fleet: CooperativeFleet, targets: readonly FleetTarget[]): Promise<number> {
    const count = (): number => targets.reduce((sum, { target }) => sum + target.arrivals.length, 0);
    const before = count();
    const endsAt = performance.now() + OBSERVED_MS;
    while (performance.now() < endsAt) {
        await sendToFleet(fleet, "/stream/x");
    }
    return count() - before;
}

/** Returns the target that the requests of these tests reach while all are ready. */
async function findUsedTarget(fleet: CooperativeFleet): Promise<FleetTarget> {
    await sendToFleet(fleet, "/stream/x");
    const used = fleet.targets.find(({ target }) =>
        target.arrivals.some(({ headers }) => headers["token-usage"])
    );
    if (!used) {
        throw new Error("No target got a request.");
    }
    return used;
}

// A watch went on from a revision that the restored store had given out again, so that the changes before it were missed.
test.serial("hears of changes whose revisions are given out again after the store was restored", async t => {
    const fleet = await createFollowedFleet(t);
    const used = await findUsedTarget(fleet);
    const copy = fleet.store.exportCopy();
    fleet.store.write("other/a", "lost");
    fleet.store.write("other/b", "lost");
    await waitForChanges(fleet);
    fleet.store.setMode("busy");
    fleet.store.recover(copy);
    fleet.setRegistration(used, "draining");
    fleet.store.write("other/a", "written again");
    fleet.store.write("other/b", "written again");
    fleet.store.setMode("ok");
    await waitForChanges(fleet);
    t.is(await countArrivals(fleet, [used]), 0);
});

// A complete read of the restored store made a target ready again that was known to leave.
test.serial("sends nothing to a target that is known to leave, whatever an older copy of the store says", async t => {
    const fleet = await createFollowedFleet(t);
    const used = await findUsedTarget(fleet);
    const copy = fleet.store.exportCopy();
    fleet.setRegistration(used, "draining");
    await waitForChanges(fleet);
    fleet.store.recover(copy);
    t.is(await countArrivals(fleet, [used]), 0);
    // Its next report is newer than what is known of it.
    fleet.setRegistration(used, "ready");
    fleet.targets.filter(target => target !== used).forEach(target =>
        fleet.setRegistration(target, "draining")
    );
    await waitForChanges(fleet);
    t.true(await countArrivals(fleet, [used]) > 0);
});

// A complete read of the restored store ended an evacuation that had been written after the copy was made.
test.serial("keeps an evacuation that an older copy of the store lacks", async t => {
    const fleet = await createFollowedFleet(t);
    const copy = fleet.store.exportCopy();
    fleet.store.write("op/evacuate/a", {});
    await waitForChanges(fleet);
    fleet.store.recover(copy);
    t.is(await countArrivals(fleet, fleet.targets), 0);
});
