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

// Guards against slow bodies that are ended for a request that finds no room even without them.
test("ends no body while that would not make enough room", async t => {
    const { open, send, received } = await startCallerServer(t, {
        maxHeldBytes: 1500,
        execute: async ({ body }, writer, signal) => {
            if (body?.length === 1000) {
                // It holds its body for as long as it runs.
                await once(signal, "abort");
            }
            writer.writeHead(200, {});
            writer.end();
            return { target: "target-0", status: 200, cost: 1, attempts: 1 };
        },
    });
    const running = open("POST", PATH, { "content-length": "1000" });
    running.on("error", () => undefined);
    running.end("x".repeat(1000));
    const slow = open("POST", PATH, { "content-length": "400" });
    const answered = once(slow, "response") as Promise<[IncomingMessage]>;
    slow.write("x".repeat(399));
    await waitUntil("the first body is held", () => received.length === 1);
    await new Promise(resolve => setTimeout(resolve, 1000));
    t.is((await send("POST", PATH, "x".repeat(700))).status, 503);
    slow.end("x");
    const [response] = await answered;
    t.is(response.statusCode, 200);
    response.resume();
    running.destroy();
});
