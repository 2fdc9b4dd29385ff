import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Kept connections to the stand-ins would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** Streams of 12 events break after the sixth. */
const BROKEN = { "Request-Id": "broken" };
const RESUMED = { "Last-Event-Id": "6", "Resumes": "broken" };

/** Starts a fleet, which knows where a broken stream began. */
async function createFleetWithBrokenStream(t: ExecutionContext): Promise<CooperativeFleet> {
    const fleet = await createRouterFleet(t);
    fleet.targets.forEach(({ target }) => target.setFault(() => "cut"));
    const { isWhole, body } = await sendToFleet(fleet, "/stream/x", BROKEN);
    t.false(isWhole);
    t.deepEqual(listEventIds(body), [1, 2, 3, 4, 5, 6]);
    return fleet;
}

function listEventIds(body: string): readonly number[] {
    return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

// Guards against events that come twice: the first part of a run that does not go on after the event that the caller named.
test.serial("stream taken up by its caller: passes on no run that begins with its first event again", async t => {
    const fleet = await createFleetWithBrokenStream(t);
    fleet.targets.forEach(({ target }) => target.setFault(() => "restarted"));
    const { status, body } = await sendToFleet(fleet, "/stream/x", RESUMED);
    t.is(status, 502, "a target has run it");
    t.deepEqual(listEventIds(body), []);
});

test.serial("stream taken up by its caller: goes on after the event that the caller named", async t => {
    const fleet = await createFleetWithBrokenStream(t);
    fleet.targets.forEach(({ target }) => target.setFault(() => "none"));
    const { status, isWhole, body } = await sendToFleet(fleet, "/stream/x", RESUMED);
    t.deepEqual({ status, isWhole }, { status: 200, isWhole: true });
    t.deepEqual(listEventIds(body), [7, 8, 9, 10, 11, 12]);
});
