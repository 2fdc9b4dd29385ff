import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { serveAnswer } from "../testing/router/serveAnswer.js";
import { SharedSilence } from "../testing/router/sharedSilence.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];
type Fleet = Awaited<ReturnType<typeof createRawFleet>>["fleet"];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUESTS = 12;
const EVENTS = 6;
/** By the platform's rules, the run before may go on for this long. */
const TWICE_MS = 400;
const STREAM_HEADERS =
    "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/** Answers a stream; all targets are silent once before or after one of its events. */
function serveStream(silence: SharedSilence, eventBefore: number): (request: RawRequest) => void {
    return request => {
        const { socket, requestId, lastEventId } = request;
        const first = Number(lastEventId ?? 0) + 1;
        const writeFrom = (id: number): void => {
            if (id > EVENTS) {
                socket.write("0\r\n\r\n");
                return;
            }
            if (id === eventBefore + 1) {
                silence.start(request);
            }
            silence.runAfter(request, () => {
                socket.write(formatChunk(formatEvent(id, requestId)));
                writeFrom(id + 1);
            });
        };
        silence.runAfter(request, () => {
            writeHead(socket, requestId, STREAM_HEADERS);
            writeFrom(first);
        });
    };
}

function formatStream(requestId: string): string {
    return Array.from({ length: EVENTS }, (_, i) => formatEvent(i + 1, requestId)).join("");
}

/** Sends streams at once and checks that each of them reaches its caller whole. */
async function checkStreams(t: ExecutionContext, fleet: Fleet): Promise<void> {
    const outcomes = await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => {
        const requestId = `silent-${i}`;
        const { status, isWhole, body } = await sendToFleet(fleet, "/stream/x", { "Request-Id": requestId });
        const isComplete = isWhole && body === formatStream(requestId);
        return `${status} ${isComplete ? "complete" : `cut after ${body.split("\n\n").length - 1} events`}`;
    }));
    t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
}

const STREAM_CASES = [
    { targets: 1, silentMs: 1000, eventBefore: 0 },
    { targets: 1, silentMs: 1300, eventBefore: 0 },
    { targets: 2, silentMs: 1700, eventBefore: 0 },
    { targets: 1, silentMs: 1300, eventBefore: 3 },
    { targets: 2, silentMs: 2200, eventBefore: 3 },
];

// The attempt of a silent target was ended before it was known whether anything could replace it.
for (const { targets, silentMs, eventBefore } of STREAM_CASES) {
    const place = eventBefore === 0 ? "before the first event" : `after event ${eventBefore}`;
    test.serial(`completes streams if all targets (${targets}) fall silent for ${silentMs} ms ${place}`, async t => {
        const silence = SharedSilence.create(silentMs);
        const serves = Array.from({ length: targets }, () => serveStream(silence, eventBefore));
        const { fleet } = await createRawFleet(t, "engine", serves);
        await checkStreams(t, fleet);
    });
}

// A change that drains or evacuates the other targets left nothing for the streams of the silent one.
for (const change of ["draining", "evacuated"]) {
    test.serial(`completes streams of silent targets while the others are ${change}`, async t => {
        const silence = SharedSilence.create(1700);
        const serves = Array.from({ length: 2 }, () => serveStream(silence, 3));
        const { fleet, targets } = await createRawFleet(t, "engine", serves);
        const isChecked = checkStreams(t, fleet);
        await waitUntil(
            "all streams are at a target",
            () => targets.flatMap(({ requestIds }) => requestIds).length >= REQUESTS,
        );
        if (change === "evacuated") {
            fleet.store.write("op/evacuate/a", {});
        }
        else {
            ["raw-0", "raw-1"].forEach(id => fleet.store.remove(`servers/${id}`));
        }
        await isChecked;
    });
}

// Two runs of a stream would be in progress at once.
test.serial("ends the run of a silent target in the moment in which the stream goes on at another one", async t => {
    const arrivals: number[] = [];
    let closedAt = Number.POSITIVE_INFINITY;
    const serve = (request: RawRequest): void => {
        arrivals.push(performance.now());
        if (arrivals.length > 1) {
            serveStream(SharedSilence.create(0), EVENTS)(request);
            return;
        }
        request.socket.on("close", () => closedAt = performance.now());
        writeHead(request.socket, request.requestId, STREAM_HEADERS);
        request.socket.write(formatChunk(formatEvent(1, request.requestId)));
    };
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "moved" });
    t.true(isWhole);
    t.is(body, formatStream("moved"));
    t.is(arrivals.length, 2);
    await waitUntil("the first run has ended", () => Number.isFinite(closedAt));
    t.true(closedAt - (arrivals[1] ?? 0) < TWICE_MS, `${closedAt - (arrivals[1] ?? 0)} ms after the second`);
});

// Two runs of a stream would be in progress for as long as the second target is silent, too.
test.serial("ends the run of a silent target soon after the request has reached a target that is silent, too", async t => {
    const arrivals: number[] = [];
    let closedAt = Number.POSITIVE_INFINITY;
    const serve = (request: RawRequest): void => {
        arrivals.push(performance.now());
        if (arrivals.length > 1) {
            setTimeout(() => serveStream(SharedSilence.create(0), EVENTS)(request), 2 * TWICE_MS);
            return;
        }
        request.socket.on("close", () => closedAt = performance.now());
        writeHead(request.socket, request.requestId, STREAM_HEADERS);
        request.socket.write(formatChunk(formatEvent(1, request.requestId)));
    };
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    const { isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "moved" });
    t.true(isWhole);
    t.true(closedAt - (arrivals[1] ?? 0) < TWICE_MS, `${closedAt - (arrivals[1] ?? 0)} ms after the second`);
});

// An unexpected error in serving a request closed its caller's connection.
test.serial("refuses a request on a route whose service the configuration lacks", async t => {
    const { fleet } = await createRawFleet(t, "plain", [serveAnswer(0)]);
    fleet.store.write("op/config", {
        version: 1000,
        routes: [{
            name: "lost",
            host: "h",
            pathPrefix: "/",
            kind: "safe",
            timeoutMs: 1000,
            service: "missing",
            public: true,
        }],
        services: [{ name: "plain" }],
    });
    await waitForRoute(fleet);
    const { status, headers } = await sendToFleet(fleet, "/lost/x");
    t.is(status, 503);
    t.truthy(headers["retry-after"]);
});

async function waitForRoute(fleet: Fleet): Promise<void> {
    await waitUntil(
        "the configuration is in force",
        async () => (await sendToFleet(fleet, "/lost/x")).status !== 404,
    );
}
