import type { ExecutionContext } from "ava";
import { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";
import type { CooperativeFleetOptions } from "../../../src/testing/platform/cooperativeFleetOptions.js";
import { sendCaller } from "../../../src/testing/sendCaller.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { sendToFleet } from "./sendToFleet.js";

const OPTIONS = { instances: 1, engines: 2, plainTargets: 2, revocationMs: 3000, stopTimeoutSeconds: 4 };

/** Starts router processes with stand-ins, and waits until each is ready and may retry a request. */
export async function createRouterFleet(
    t: ExecutionContext,
    options: Partial<CooperativeFleetOptions> = {},
): Promise<CooperativeFleet> {
    const fleet = await CooperativeFleet.create({ ...OPTIONS, ...options });
    t.teardown(() => fleet.close());
    for (const instance of fleet.instances) {
        const { ready } = fleet.getUrls(instance);
        await waitUntil(
            "the instance is ready",
            async () => (await sendCaller(ready, { method: "GET", headers: {} })).status === 200,
        );
    }
    await waitUntil(
        "the retry budget covers a retry",
        async () => (await sendToFleet(fleet, "/safe/x")).status === 200,
    );
    return fleet;
}
