import test, { registerCompletionHandler } from "ava";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { buildPaddedConfiguration } from "../testing/memory/buildPaddedConfiguration.js";
import { checkChunkedCrowd } from "../testing/memory/checkChunkedCrowd.js";
import { chunkForms } from "../testing/memory/chunkForms.js";
import { createLimitedRouter } from "../testing/memory/createLimitedRouter.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const LIMIT_MB = 112;
const LATER_MB = 96;
const CALLERS = 100;
const PATIENCE_MS = 15_000;
const VERSION = 2000;
/** A common prompt. */
const ordinaryBody = "o".repeat(60_000);

/** Publishes a configuration in which one route needs a key. */
async function publishKey(fleet: CooperativeFleet): Promise<void> {
    const configuration = buildPaddedConfiguration(VERSION, 0) as { readonly routes: readonly object[]; };
    const keyed = { ...configuration.routes[0], name: "keyed", pathPrefix: "/keyed/", public: false };
    fleet.store.write("op/config", {
        ...configuration,
        routes: [...configuration.routes, keyed],
        tenants: [{ name: "account", apiKeys: [fleet.key] }],
    });
    await waitUntil("the key is known", async () => (await sendToFleet(fleet, "/keyed/x")).status === 401);
}

for (const form of chunkForms) {
    // Guards against bodies that take more memory than they are accounted for, and keep ordinary callers out.
    test.serial(`${CALLERS} callers with ${form.name} that stay open`, async t => {
        const fleet = await createLimitedRouter(t, LIMIT_MB);
        await publishKey(fleet);
        const [instance] = fleet.instances;
        const buildHead = (index: number): string => {
            const head = `Host: h\r\nRequest-Id: crowd-${index}\r\nDeadline-Ms: ${PATIENCE_MS}\r\n`
                + "Token-Usage: 100,20\r\nTransfer-Encoding: chunked";
            return index % 2 === 0
                ? `POST /stream/x HTTP/1.1\r\n${head}`
                : `POST /keyed/x HTTP/1.1\r\nAuthorization: Bearer ${fleet.key}\r\n${head}`;
        };
        await checkChunkedCrowd(t, {
            address: new URL(instance ? fleet.getUrls(instance).callers : "").host,
            pid: instance?.process.pid ?? 0,
            form,
            buildHead,
            callers: CALLERS,
            peakMb: LIMIT_MB,
            laterMb: LATER_MB,
            sendOrdinary: async () => (await sendToFleet(fleet, "/known/x", {}, 0, ordinaryBody)).status,
        });
        t.true(instance?.process.running, "the router has ended");
    });
}
