import test, { registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { buildPaddedConfiguration } from "../testing/memory/buildPaddedConfiguration.js";
import { checkMemory } from "../testing/memory/checkMemory.js";
import { createLimitedRouter } from "../testing/memory/createLimitedRouter.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const MEMORY_MB = 178;
/** Version of the configuration with which the router starts. */
const FIRST_VERSION = 1000;
const VERSIONS = 60;
const VERSION_BYTES = 1_000_000;
const VERSION_MS = 150;

// Guards against former versions that are kept for peers and for streams, however large they are: the heap of the router
// filled up, and the process was aborted.
test("stays within its memory while a configuration of 1 MB changes again and again", async t => {
    const fleet = await createLimitedRouter(t, MEMORY_MB);
    const [instance] = fleet.instances;
    for (let i = 1; i <= VERSIONS; i += 1) {
        fleet.store.write(
            "op/config",
            buildPaddedConfiguration(FIRST_VERSION + i, VERSION_BYTES),
        );
        await new Promise(resolve => setTimeout(resolve, VERSION_MS));
        if (!instance?.process.running) {
            break;
        }
    }
    t.true(instance?.process.running, "the router has ended");
    await waitUntil("the last version is read", () => fleet.store.isFollowed);
    t.is((await sendToFleet(fleet, "/known/x")).status, 200);
    checkMemory(t, fleet, MEMORY_MB);
});
