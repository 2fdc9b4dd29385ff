import test, { registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { listOddEntries } from "../testing/platform/oddEntries.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const CALLERS = 12;
const REQUESTS_PER_CALLER = 5;
const PATHS = ["/once/x", "/unsafe/x"];
/** An instance that reads through a peer has a change within this time after the peer. */
const RELAY_MS = 1000;

/** Sends requests to all instances at once, and returns those that got no success, counted by outcome. */
async function sendLoad(fleet: CooperativeFleet): Promise<Readonly<Record<string, number>>> {
    const failures: Record<string, number> = {};
    const send = async (path: string, instanceIndex: number): Promise<void> => {
        for (let i = 0; i < REQUESTS_PER_CALLER; i += 1) {
            const { status, isWhole } = await sendToFleet(fleet, path, {}, instanceIndex);
            if (status !== 200 || !isWhole) {
                const outcome = `${path} ${status}`;
                failures[outcome] = (failures[outcome] ?? 0) + 1;
            }
        }
    };
    await Promise.all(Array.from({ length: CALLERS }, async (_, i) => {
        for (const path of PATHS) {
            await send(path, i % fleet.instances.length);
        }
    }));
    return failures;
}

async function waitForFollowers(fleet: CooperativeFleet): Promise<void> {
    await waitUntil("the store's changes are followed", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, RELAY_MS));
}

// Entries of other writers were used as targets if their fields looked roughly right: requests were sent to addresses that
// cannot exist, or to another target's, until they had no attempt left.
test.serial("odd entries among those of the servers: make no request fail, end no process and keep no other entry from being followed", async t => {
    const fleet = await createRouterFleet(t, { instances: 2 });
    const failures: Record<string, object> = {};
    const { target, address } = fleet.targets.find(entry => entry.target.service === "plain")
        ?? t.fail() as never;
    for (const [name, entries] of listOddEntries({ ...target.describe(address, "ready", 1) })) {
        entries.forEach(({ key, value }) => fleet.store.write(key, value));
        await waitForFollowers(fleet);
        failures[name] = await sendLoad(fleet);
        entries.forEach(({ key }) => fleet.store.remove(key));
        t.true(fleet.instances.every(({ process }) => process.running), name);
    }
    t.deepEqual(Object.entries(failures).filter(([, counts]) => Object.keys(counts).length > 0), []);
});
