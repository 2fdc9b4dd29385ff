import test from "ava";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { waitUntil } from "../../../src/testing/waitUntil.js";
import { startCallerServer } from "../../helpers/startCallerServer.js";

const PATH = "/services/order-book/";

// Guards against bodies that are within their limit one by one, and fill the memory together.
test("refuses a body while those of other requests take the memory for bodies, and takes it once one has ended", async t => {
    const { open, send } = await startCallerServer(t, { maxHeldBytes: 1500 });
    const stalled = [1, 2].map(() => open("POST", PATH, { "content-length": "700" }));
    stalled.forEach(request => request.write("x".repeat(650)));
    await waitUntil(
        "the stalled bodies are held",
        async () => (await send("POST", PATH, "x".repeat(300))).status === 503,
    );
    const refused = await send("POST", PATH, "x".repeat(300));
    t.is(refused.status, 503);
    t.is(refused.headers["retry-after"], "1");
    t.is((JSON.parse(refused.body) as { code?: string; }).code, "memory-limit");
    t.is((await send("POST", PATH, "x".repeat(100))).status, 200);
    stalled[0]?.end("x".repeat(50));
    const [response] = await once(stalled[0] ?? t.fail() as never, "response") as [IncomingMessage];
    t.is(response.statusCode, 200);
    response.resume();
    await waitUntil(
        "its body is released",
        async () => (await send("POST", PATH, "x".repeat(300))).status === 200,
    );
    stalled[1]?.destroy();
    await waitUntil(
        "the other one is released",
        async () => (await send("POST", PATH, "x".repeat(1000))).status === 200,
    );
});
