import test, { registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** The loader of the test build opens about 100 files at once; all that are free are taken below. */
const MAX_DESCRIPTORS = 128;

// Without a free descriptor the resident memory cannot be read: the checks ended there with an uncaught error each second.
// Connections to the directory did that, until their number had a limit.
test.serial("a process without free descriptors goes on with its checks, and serves once there are some", async t => {
    const events: string[] = [];
    const preloaded = new URL("../testing/router/takeDescriptors.js", import.meta.url).href;
    process.env["NODE_OPTIONS"] = `--import ${preloaded}`;
    const fleet = await createRouterFleet(t, {
        maxDescriptors: MAX_DESCRIPTORS,
        onLogLine: (_host, line) => events.push(line),
    });
    const [instance] = fleet.instances;
    instance?.process.kill("SIGUSR2");
    await waitUntil("the log names it", () => events.some(line => line.includes('"memory-unread"')));
    instance?.process.kill("SIGALRM");
    await waitUntil(
        "requests are served",
        async () => (await sendToFleet(fleet, "/safe/x")).status === 200,
    );
    t.deepEqual(events.filter(line => line.includes('"internal-error"')), []);
});
