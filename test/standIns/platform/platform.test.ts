import test, { type ExecutionContext } from "ava";
import { request } from "undici";
import { FleetPlatform } from "../../../src/testing/fleetPlatform.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";

async function startPlatform(t: ExecutionContext, revisions: number): Promise<FleetPlatform> {
    const platform = await FleetPlatform.create();
    t.teardown(() => platform.close());
    for (let revision = 1; revision <= revisions; revision += 1) {
        await platform.publish("instances", { revision });
    }
    return platform;
}

async function readRevision(platform: FleetPlatform, after = -1, waitMs = 0): Promise<number | undefined> {
    const response = await request(`http://${platform.address}/v1/instances?after=${after}&waitMs=${waitMs}`);
    const text = await response.body.text();
    return response.statusCode === 200 ? (JSON.parse(text) as { revision: number; }).revision : undefined;
}

test("a waiting watch counts as one call and ends with the next value", async t => {
    const platform = await startPlatform(t, 1);
    const watch = readRevision(platform, 1, 30_000);
    await waitUntil("the watch has arrived", async () => await platform.readCalls() === 1);
    await platform.publish("instances", { revision: 2 });
    t.is(await watch, 2);
    t.is(await platform.readCalls(), 1);
    t.is(await readRevision(platform, 2, 1), undefined);
});

test("refuses a value over 1 MB and keeps the previous one", async t => {
    const platform = await startPlatform(t, 1);
    const large = { revision: 2, text: "x".repeat(1_048_576) };
    await t.throwsAsync(platform.publish("instances", large), { message: /413/ });
    t.is(await readRevision(platform), 1);
});

test("a platform that is down resets calls and waiting watches until it recovers", async t => {
    const platform = await startPlatform(t, 1);
    const watch = t.throwsAsync(readRevision(platform, 1, 30_000));
    await waitUntil("the watch has arrived", async () => await platform.readCalls() === 1);
    await platform.setFault({ down: true });
    await watch;
    await t.throwsAsync(readRevision(platform));
    await platform.setFault({});
    t.is(await readRevision(platform), 1);
});

test("a stale replica shows the previous revision to the given fraction of readers", async t => {
    const platform = await startPlatform(t, 3);
    await platform.setFault({ staleShare: 0.5 });
    const seen = [];
    for (let reader = 0; reader < 4; reader += 1) {
        seen.push(await readRevision(platform));
    }
    t.deepEqual(seen.sort(), [2, 2, 3, 3]);
});

test("a platform that goes back sends an older revision to waiting watches", async t => {
    const platform = await startPlatform(t, 3);
    const watch = readRevision(platform, 3, 30_000);
    await waitUntil("the watch has arrived", async () => await platform.readCalls() === 1);
    await platform.setFault({ goBack: 2 });
    t.is(await watch, 1);
});
