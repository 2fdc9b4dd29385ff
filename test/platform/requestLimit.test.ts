import test, { registerCompletionHandler } from "ava";
import { countMostWithin } from "../../src/testing/countMostWithin.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const LIMIT_PER_SECOND = 5;
const WINDOW_MS = 4000;
/** The platform tolerates one and a half times the limit and five requests in any window of four seconds. */
const MAX_REQUESTS = 1.5 * LIMIT_PER_SECOND * WINDOW_MS / 1000 + 5;
/** Time after the first response with a limit from which the limit must be kept (`contactMs`). */
const SETTLE_MS = 4000;
const LOAD_MS = 10_000;
const CALLERS_PER_INSTANCE = 4;

// A target that names a limit for the requests of all instances together got whatever its slots allowed.
test.serial("keeps the request limit that a target names, summed over all instances, and uses most of it", async t => {
    const fleet = await createRouterFleet(t, { instances: 3, engines: 1 });
    const engine = fleet.targets[0]?.target;
    if (!engine) {
        t.fail("no engine");
        return;
    }
    const startedAt = performance.now();
    engine.setHeader("Server-Limit", String(LIMIT_PER_SECOND));
    await Promise.all(
        fleet.instances.flatMap((_, index) =>
            Array.from({ length: CALLERS_PER_INSTANCE }, async () => {
                while (performance.now() < startedAt + LOAD_MS) {
                    const { status } = await sendToFleet(fleet, "/stream/x", {}, index);
                    if (status !== 200) {
                        await new Promise(resolve => setTimeout(resolve, 100));
                    }
                }
            })
        ),
    );
    const arrivals = engine.arrivals.map(({ at }) => at).filter(at => at >= startedAt + SETTLE_MS);
    const most = countMostWithin(arrivals, WINDOW_MS);
    t.true(most <= MAX_REQUESTS, `${most} requests in four seconds`);
    t.true(most >= LIMIT_PER_SECOND * WINDOW_MS / 1000 * 0.7, `${most} requests in four seconds`);
});
