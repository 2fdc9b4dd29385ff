import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { buffer as readBuffer } from "node:stream/consumers";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { buildPaddedConfiguration } from "../testing/memory/buildPaddedConfiguration.js";
import { checkChunkedCrowd } from "../testing/memory/checkChunkedCrowd.js";
import { checkMemory } from "../testing/memory/checkMemory.js";
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
/** The smallest machine of a deployment, and the largest body that its configuration allows. */
const SMALL_LIMIT_MB = 88;
const MAX_BODY_BYTES = 4_194_304;
/** Longer than a slow machine takes to read such a body, so that the test checks no time. */
const WHOLE_PATIENCE_MS = 120_000;
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

// Guards against limits that refuse a body inside the limits of the configuration because of the size of its chunks.
test.serial("a body of the largest size in chunks of one byte reaches its target byte for byte on the smallest machine", async t => {
    const fleet = await createLimitedRouter(t, SMALL_LIMIT_MB);
    const content = Buffer.alloc(MAX_BODY_BYTES, "0123456789");
    let received = Buffer.alloc(0);
    const target = createServer((incoming, response) => {
        void readBuffer(incoming).then(body => {
            if (incoming.method !== "POST") {
                response.writeHead(404).end();
                return;
            }
            received = body;
            response.writeHead(200, { "Request-Id": incoming.headers["request-id"] ?? "" }).end(
                "data: x\n\n",
            );
        });
    }).listen(0, "127.0.0.1");
    t.teardown(() => target.close());
    await once(target, "listening");
    fleet.store.write("servers/engine-whole", {
        service: "engine",
        address: `127.0.0.1:${(target.address() as AddressInfo).port}`,
        zone: "a",
        slots: 16,
        state: "ready",
        coldRemainingMs: 0,
        version: "v1",
        sequence: 1,
        born: Date.now(),
    });
    await waitUntil("the target is known", () => fleet.store.isFollowed);
    const [instance] = fleet.instances;
    const { hostname, port } = new URL(instance ? fleet.getUrls(instance).callers : "");
    const socket = connect(Number(port), hostname);
    socket.write(
        `POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: whole\r\nDeadline-Ms: ${WHOLE_PATIENCE_MS}\r\n`
            + "Token-Usage: 100,20\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for (let start = 0; start < MAX_BODY_BYTES; start += 65_536) {
        const chunks = [...content.toString("latin1", start, start + 65_536)].map(x => `1\r\n${x}\r\n`);
        if (!socket.write(chunks.join(""))) {
            await once(socket, "drain");
        }
    }
    socket.write("0\r\n\r\n");
    const [response] = await once(socket, "data") as [Buffer];
    t.regex(response.toString(), /^HTTP\/1.1 200 /u);
    t.true(received.equals(content));
    checkMemory(t, fleet, SMALL_LIMIT_MB);
    socket.destroy();
});
