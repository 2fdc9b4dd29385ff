import test, { registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createUnacceptingFleet } from "../testing/router/createUnacceptingFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { serveAnswer } from "../testing/router/serveAnswer.js";
import { SharedSilence } from "../testing/router/sharedSilence.js";
import type { UnacceptingTarget } from "../testing/router/unacceptingTarget.js";
import { writeHead } from "../testing/router/writeHead.js";

type Fleet = Awaited<ReturnType<typeof createUnacceptingFleet>>["fleet"];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const ROUTES = [["safe", "plain"], ["unsafe", "plain"], ["stream", "engine"], ["once", "engine"]] as const;
const REQUESTS = 4;
const EVENTS = 6;
/** Longer than a stream's pause may be before its target counts as silent, and than two runs of it may be in progress. */
const SILENT_RUN_MS = 1900;
/** The targets accept connections again after this time. */
const UNACCEPTING_MS = 1100;
/** Callers leave a stream, also before its first event, after a gap of this length. */
const CALLER_GAP_MS = 2000;
/** A target that is free is used well before the one that accepts nothing. */
const MOVED_MS = 900;
const STREAM_HEADERS =
    "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

function formatStream(requestId: string): string {
    return Array.from({ length: EVENTS }, (_, i) => formatEvent(i + 1, requestId)).join("");
}

function acceptLater(targets: readonly UnacceptingTarget[]): void {
    setTimeout(() => targets.forEach(target => target.accept()), UNACCEPTING_MS);
}

/** Sends requests at once; returns their identifiers and outcomes. */
async function sendAll(
    fleet: Fleet,
    path: string,
): Promise<{ readonly ids: readonly string[]; readonly outcomes: readonly string[]; }> {
    const ids = Array.from({ length: REQUESTS }, (_, i) => `late-${i}`);
    const outcomes = await Promise.all(ids.map(async id => {
        const { status, isWhole, body } = await sendToFleet(fleet, path, { "Request-Id": id });
        const isComplete = isWhole && [formatStream(id), "ok"].includes(body);
        return `${status} ${isComplete ? "complete" : "incomplete"}`;
    }));
    return { ids, outcomes };
}

function listArrivals(targets: readonly UnacceptingTarget[]): readonly string[] {
    return targets.flatMap(({ requestIds }) => requestIds).sort();
}

// A connection that was not there after 400 ms was given up, although nothing could replace it.
for (const [path, service] of ROUTES) {
    test.serial(`completes ${path} requests whose only target accepts no connection for a second`, async t => {
        const { fleet, targets } = await createUnacceptingFleet(t, service, 1);
        acceptLater(targets);
        const sentAt = performance.now();
        const { ids, outcomes } = await sendAll(fleet, `/${path}/x`);
        t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
        t.deepEqual(listArrivals(targets), ids);
        t.true(performance.now() - sentAt < CALLER_GAP_MS, `${performance.now() - sentAt} ms`);
    });
}

// Connections to several targets are in progress, of which one is used.
for (const [path, service] of ROUTES) {
    test.serial(`runs ${path} requests once if all targets accept no connection for a second`, async t => {
        const { fleet, targets } = await createUnacceptingFleet(t, service, 2);
        acceptLater(targets);
        const { ids, outcomes } = await sendAll(fleet, `/${path}/x`);
        t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
        t.deepEqual(listArrivals(targets), ids);
    });
}

// The stream was cut: its next target was given up after 400 ms, and no other one was left.
test.serial("goes on with a begun stream at a target that accepts no connection for a second", async t => {
    const { fleet, targets } = await createUnacceptingFleet(t, "engine", 1);
    const broken = await RawTarget.create(fleet, "broken", "engine", ({ socket, requestId }) => {
        writeHead(socket, requestId, STREAM_HEADERS);
        socket.write(formatChunk(formatEvent(1, requestId)));
        setTimeout(() => socket.destroy(), 100);
    });
    t.teardown(() => broken.close());
    await waitUntil("the target is known", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, 300));
    acceptLater(targets);
    const { outcomes } = await sendAll(fleet, "/stream/x");
    t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
});

// The silent run was ended before the target in its place had taken the connection, or its target got the stream once more.
test.serial("goes on with a silent run of a stream while the next target accepts no connection", async t => {
    const { fleet } = await createUnacceptingFleet(t, "engine", 1);
    const silence = SharedSilence.create(SILENT_RUN_MS);
    const silent = await RawTarget.create(fleet, "silent", "engine", request => {
        const { socket, requestId } = request;
        writeHead(socket, requestId, STREAM_HEADERS);
        socket.write(formatChunk(formatEvent(1, requestId)));
        silence.start(request);
        silence.runAfter(request, () => {
            for (let id = 2; id <= EVENTS; id += 1) {
                socket.write(formatChunk(formatEvent(id, requestId)));
            }
            socket.write("0\r\n\r\n");
        });
    });
    t.teardown(() => silent.close());
    await waitUntil("the target is known", () => fleet.store.isFollowed);
    await new Promise(resolve => setTimeout(resolve, 300));
    const { ids, outcomes } = await sendAll(fleet, "/stream/x");
    t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
    t.deepEqual([...silent.requestIds].sort(), ids);
});

// Nothing was written, so that the caller may send the request again.
for (const [path, service] of ROUTES) {
    test.serial(`refuses ${path} requests at their deadline as not executed if no target accepts a connection`, async t => {
        const { fleet, targets } = await createUnacceptingFleet(t, service, 2);
        const { status } = await sendToFleet(fleet, `/${path}/x`, { "Deadline-Ms": "900" });
        t.is(status, 503);
        targets.forEach(target => target.accept());
        await new Promise(resolve => setTimeout(resolve, 500));
        t.deepEqual(listArrivals(targets), []);
    });
}

// A request that may not be repeated waited for the target that accepts nothing, although it had not been sent.
for (const path of ["safe", "unsafe"]) {
    test.serial(`moves ${path} requests from a target that accepts no connection to a free one`, async t => {
        const { fleet, targets } = await createUnacceptingFleet(t, "plain", 1);
        const arrivals: string[] = [];
        let lastMs = 0;
        const sentAt = performance.now();
        const isSent = sendAll(fleet, `/${path}/x`);
        await waitUntil(
            "the requests are waiting for the only target",
            () => performance.now() - sentAt > 200,
        );
        const free = await RawTarget.create(fleet, "free", "plain", request => {
            arrivals.push(request.requestId);
            lastMs = performance.now() - sentAt;
            serveAnswer(0)(request);
        });
        t.teardown(() => free.close());
        const { ids, outcomes } = await isSent;
        t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
        t.deepEqual([...arrivals].sort(), ids);
        t.true(lastMs < MOVED_MS, `${lastMs} ms`);
        targets.forEach(target => target.accept());
        await new Promise(resolve => setTimeout(resolve, 500));
        t.deepEqual(listArrivals(targets), []);
    });
}

// A target that is known to be gone is not waited for.
test.serial("refuses a request at once if its only target refuses the connection", async t => {
    const { fleet, targets } = await createUnacceptingFleet(t, "plain", 1);
    await Promise.all(targets.map(target => target.close()));
    const sentAt = performance.now();
    const { status } = await sendToFleet(fleet, "/unsafe/x");
    t.is(status, 503);
    t.true(performance.now() - sentAt < 300);
});

/** A target that has left may get requests for this time. */
const DRAIN_MS = 2500;

// The connection was tried again at the target after it had left, so that the request arrived long after that.
test.serial("sends no request to a target that left while it accepted no connection", async t => {
    const { fleet, targets } = await createUnacceptingFleet(t, "plain", 1);
    const isSent = sendAll(fleet, "/unsafe/x");
    await new Promise(resolve => setTimeout(resolve, 200));
    fleet.store.remove("servers/silent-0");
    await new Promise(resolve => setTimeout(resolve, DRAIN_MS + 700));
    targets.forEach(target => target.accept());
    const { outcomes } = await isSent;
    t.deepEqual(outcomes, outcomes.map(() => "503 incomplete"));
    t.deepEqual(listArrivals(targets), []);
});
