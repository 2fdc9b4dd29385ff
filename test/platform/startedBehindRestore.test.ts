import test, { registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const LATE_MS = 1500;

// An instance that started took the first contents for current, also those of a store that had come back from an older copy.
test("restored store: an instance that starts before the operator has written again does not accept a withdrawn key", async t => {
    const fleet = await createRouterFleet(t, { instances: 2 });
    const started = fleet.instances[1];
    if (!started) {
        t.fail("too few instances");
        return;
    }
    const getStatus = async (instance: number): Promise<number> =>
        (await sendToFleet(fleet, "/stream/x", {}, instance)).status;
    await waitUntil("the key is accepted", async () => await getStatus(1) === 200);
    const copy = fleet.store.exportCopy();
    fleet.publish(false);
    await waitUntil(
        "the key is refused",
        async () => await getStatus(0) === 401 && await getStatus(1) === 401,
    );
    await fleet.killInstances([started]);
    fleet.store.setMode("reset");
    fleet.store.recover(copy);
    fleet.store.setMode("ok");
    await fleet.startInstance(started);
    const statuses = new Set<number>();
    for (const until = performance.now() + LATE_MS; performance.now() < until;) {
        statuses.add(await getStatus(1));
    }
    t.deepEqual([...statuses], [503]);
    t.is((await sendToFleet(fleet, "/safe/x", {}, 1)).status, 200);
    fleet.publish(false);
    await waitUntil("the instance has caught up", async () => await getStatus(1) === 401);
});

test("an instance that starts beside others soon accepts keys", async t => {
    const fleet = await createRouterFleet(t, { instances: 2 });
    const started = fleet.instances[1];
    if (!started) {
        t.fail("too few instances");
        return;
    }
    await fleet.killInstances([started]);
    await fleet.startInstance(started);
    await waitUntil(
        "the key is accepted",
        async () => (await sendToFleet(fleet, "/stream/x", {}, 1)).status === 200,
    );
    t.pass();
});
