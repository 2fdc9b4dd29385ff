import test, { registerCompletionHandler } from "ava";
import { RouterStarts } from "../testing/platform/routerStarts.js";
import { createSlowFleet } from "../testing/router/createSlowFleet.js";
import { KeptCaller } from "../testing/router/keptCaller.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const DELAYS_MS = [0, 300, 1500] as const;

// The successor ended with code 0 while its predecessor still finished its requests; then nobody ran.
for (const delayMs of DELAYS_MS) {
    test.serial(`a successor that starts ${delayMs} ms after the stop signal of its predecessor serves afterwards`, async t => {
        const { fleet } = await createSlowFleet(t, {
            stopTimeoutSeconds: 4,
            timeoutMs: 4000,
            plainMs: 2000,
            streamMs: 2000,
        });
        const starts = RouterStarts.createFrom(t, fleet);
        const caller = await KeptCaller.create(fleet, "/safe/x");
        t.teardown(() => caller.close());
        const request = caller.send("/unsafe/x", "unsafe-in-flight");
        await new Promise(resolve => setTimeout(resolve, 100));
        const stopped = fleet.instances[0]?.process.stop("SIGTERM");
        await new Promise(resolve => setTimeout(resolve, delayMs));
        const successor = starts.start();
        const { status, isWhole } = await request;
        t.deepEqual([status, isWhole], [200, true]);
        t.is(await stopped, 0);
        await starts.waitUntilServing(successor);
    });
}
