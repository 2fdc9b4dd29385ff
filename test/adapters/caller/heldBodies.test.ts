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

// Guards against stalled bodies that keep other callers out, and that stay open for as long as their callers like.
test("while memory is short, ends the body that holds most; later, one of which nothing arrives", async t => {
    const { open, send } = await startCallerServer(t, { maxHeldBytes: 1500, bodyIdleTimeoutMs: 2000 });
    const [small, large] = [400, 900].map(bytes => {
        const request = open("POST", PATH, { "content-length": String(bytes) });
        request.write("x".repeat(bytes - 1));
        return request;
    });
    const [refusedLarge, refusedSmall] = [large, small].map(request =>
        once(request ?? t.fail() as never, "response") as Promise<[IncomingMessage]>
    );
    await new Promise(resolve => setTimeout(resolve, 1000));
    t.is((await send("POST", PATH, "x".repeat(600))).status, 200);
    t.is((await refusedLarge)?.[0].statusCode, 503);
    t.is((await refusedSmall)?.[0].statusCode, 408);
    await waitUntil(
        "both are released",
        async () => (await send("POST", PATH, "x".repeat(1000))).status === 200,
    );
});
