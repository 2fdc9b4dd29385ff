import test, { type ExecutionContext } from "ava";
import { type Dispatcher, request } from "undici";
import { computeResponseTokens } from "../../../src/standIns/shared/computeResponseTokens.js";
import type { Arrival } from "../../../src/standIns/target/arrival.js";
import { ChildProcess } from "../../../src/testing/childProcess.js";
import { sendControl } from "../../../src/testing/sendControl.js";
import type { TargetSummary } from "../../../src/testing/targetSummary.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";

const LENGTH = { minTokens: 30, maxTokens: 30 };

async function startEngine(t: ExecutionContext, settings: object = {}): Promise<ChildProcess> {
    const module = new URL("../../../src/standIns/engine/main.js", import.meta.url);
    const engine = await ChildProcess.create(module, [JSON.stringify({ ...LENGTH, ...settings })]);
    t.teardown(() => engine.stop("SIGKILL"));
    return engine;
}

function sendChat(
    engine: ChildProcess,
    prompt: string,
    headers: Record<string, string> = {},
): Promise<Dispatcher.ResponseData> {
    return request(`http://${engine.address}/v1/chat/completions`, {
        method: "POST",
        headers,
        body: JSON.stringify({ stream: true, messages: [{ role: "user", content: prompt }] }),
    });
}

function sendEngineControl<T>(
    engine: ChildProcess,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<T> {
    return sendControl(engine.listening["controlAddress"] ?? "", method, path, body);
}

const readSummary = (engine: ChildProcess): Promise<TargetSummary> =>
    sendEngineControl(engine, "GET", "summary");

function dropResponse(response: Dispatcher.ResponseData): void {
    response.body.on("error", () => undefined).destroy();
}

function parseEvents(text: string): readonly string[] {
    return text.split("\n\n").filter(event => event !== "").map(event => event.replace("data: ", ""));
}

test("an engine runs concurrent requests in one batch, without queueing", async t => {
    const engine = await startEngine(t, { tokenIntervalMs: 200 });
    const responses = await Promise.all(["a", "b", "c"].map(prompt => sendChat(engine, prompt)));
    t.is((await readSummary(engine)).peak, 3);
    responses.forEach(dropResponse);
});

test("a resumed stream starts at the given token, ends with the usage and carries the request id", async t => {
    const engine = await startEngine(t);
    const response = await sendChat(engine, "p q", { "x-resume-from": "25", "x-request-id": "r1" });
    const events = parseEvents(await response.body.text());
    const tokens = computeResponseTokens("p q", LENGTH).slice(25);
    t.deepEqual(
        events.slice(0, 4),
        tokens.slice(0, 4).map((token, i) => JSON.stringify({ index: 25 + i, token })),
    );
    const usage = { prompt_tokens: 2, completion_tokens: 30 };
    t.deepEqual(JSON.parse(events[4] ?? ""), { index: 29, token: tokens[4], usage });
    t.is(events[5], "[DONE]");
    t.is(response.headers["x-request-id"], "r1");
    t.is(response.headers["x-target-state"], "warm");
});

test("a caller's disconnect frees the slot and is recorded as cancelled with the tokens served", async t => {
    const engine = await startEngine(t, { tokenIntervalMs: 20 });
    const response = await sendChat(engine, "[account=capel] [request=m1] x");
    dropResponse(response);
    await waitUntil("the request is gone", async () => (await readSummary(engine)).running === 0);
    const [arrival] = await sendEngineControl<Arrival[]>(engine, "GET", "records");
    t.like(arrival, { account: "capel", marker: "m1", ending: "cancelled" });
    t.true((arrival?.tokens ?? 0) < 33);
});

test("refuses a request with an outdated fencing number without running it", async t => {
    const engine = await startEngine(t, { checksFencing: true });
    await (await sendChat(engine, "a", { "x-fencing-number": "7" })).body.text();
    const old = await sendChat(engine, "b", { "x-fencing-number": "6" });
    t.is(old.statusCode, 503);
    t.is(old.headers["x-not-run"], "true");
    const arrivals = await sendEngineControl<Arrival[]>(engine, "GET", "records");
    t.deepEqual(arrivals.map(arrival => arrival.ending), ["completed", "refused"]);
});

test("a cold engine refuses requests over its cold limit until completed requests have warmed it up", async t => {
    const limits = { startsCold: true, warmRequestsPerSlot: 1, warmMsPerSlot: 1e9, slotLimit: 2 };
    const engine = await startEngine(t, { ...limits, tokenIntervalMs: 200 });
    const first = await sendChat(engine, "a");
    t.is(first.headers["x-target-state"], "cold");
    const second = await sendChat(engine, "b");
    t.is(second.statusCode, 503);
    t.is(second.headers["x-not-run"], "true");
    dropResponse(first);
    await waitUntil("the request is gone", async () => (await readSummary(engine)).running === 0);
    t.like(await readSummary(engine), { state: "cold", bearable: 1 });
    await (await sendChat(engine, "c", { "x-resume-from": "30" })).body.text();
    t.like(await readSummary(engine), { state: "warm", bearable: 2, breaches: 1, breachesBeforeNotice: 0 });
    await sendEngineControl(engine, "POST", "cold");
    t.like(await readSummary(engine), { state: "cold", bearable: 1 });
});

test("an engine far over its limit resets all connections and restarts cold in a new epoch", async t => {
    const engine = await startEngine(t, {
        slotLimit: 2,
        overloadFactor: 1,
        warmMsPerSlot: 1e9,
        tokenIntervalMs: 100,
        downMs: 2_000,
    });
    const before = await sendEngineControl<{ epoch: string; }>(engine, "GET", "summary");
    const running = await Promise.all([sendChat(engine, "a"), sendChat(engine, "b")]);
    const cut = running.map(response => t.throwsAsync(response.body.text()));
    await sendChat(engine, "c").then(response => response.body.text()).catch(() => undefined);
    await Promise.all(cut);
    await t.throwsAsync(sendChat(engine, "d"), { code: "ECONNREFUSED" });
    await waitUntil("the engine listens again", async () => {
        const report = await request(`http://${engine.address}/v1/load`).catch(() => undefined);
        return report?.statusCode === 200;
    });
    const after = await sendEngineControl<{ epoch: string; }>(engine, "GET", "summary");
    t.not(after.epoch, before.epoch);
    t.like(after, { state: "cold", timesFallen: 1 });
});

test("a load report shows the load of `loadLagMs` ago", async t => {
    const engine = await startEngine(t, { loadLagMs: 60_000, tokenIntervalMs: 200 });
    await request(`http://${engine.address}/v1/load`);
    const response = await sendChat(engine, "a");
    const report = await (await request(`http://${engine.address}/v1/load`)).body.json();
    t.like(report as object, { running: 0, bearable: 8, state: "warm" });
    t.is((await readSummary(engine)).running, 1);
    dropResponse(response);
});

test("a truncated or reset response ends after the given bytes and the next request succeeds", async t => {
    for (const kind of ["truncate", "reset"]) {
        const engine = await startEngine(t);
        await sendEngineControl(engine, "POST", "faults", { kind, afterBytes: 100 });
        let received = 0;
        await t.throwsAsync(async () => {
            for await (const chunk of (await sendChat(engine, "a")).body) {
                received += (chunk as Buffer).length;
            }
        });
        t.true(kind === "reset" ? received <= 100 : received === 100, `${kind}: ${received}`);
        t.is((await sendChat(engine, "b")).statusCode, 200);
    }
});

test("an injected duplicate, cross or delay fault affects one response only", async t => {
    const engine = await startEngine(t);
    await sendEngineControl(engine, "POST", "faults", { kind: "duplicate" });
    await sendEngineControl(engine, "POST", "faults", { kind: "cross" });
    await sendEngineControl(engine, "POST", "faults", { kind: "delay", delayMs: 100 });
    t.is(parseEvents(await (await sendChat(engine, "a", { "x-request-id": "ra" })).body.text()).length, 61);
    const crossed = await sendChat(engine, "b", { "x-request-id": "rb" });
    t.is(crossed.headers["x-request-id"], "ra");
    const [chunk = ""] = parseEvents(await crossed.body.text());
    t.deepEqual(JSON.parse(chunk), { index: 0, token: computeResponseTokens("a", LENGTH)[0] });
    await (await sendChat(engine, "c")).body.text();
    const delayed = (await sendEngineControl<Arrival[]>(engine, "GET", "records"))[2];
    t.true((delayed?.endMs ?? 0) - (delayed?.startMs ?? 0) >= 99);
    t.is(parseEvents(await (await sendChat(engine, "d")).body.text()).length, 31);
});
