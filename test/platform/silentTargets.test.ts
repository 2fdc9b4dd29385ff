import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { connect } from "node:net";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { SharedSilence } from "../testing/router/sharedSilence.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];
type Fleet = Awaited<ReturnType<typeof createRawFleet>>["fleet"];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUESTS = 12;
const EVENTS = 6;
/** By the platform's rules, the run before may go on for this long, and so may attempts whose caller has left. */
const TWICE_MS = 400;
const GONE_MS = 500;
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

function serveAnswer(delayMs: number): (request: RawRequest) => void {
    return ({ socket, requestId }) => {
        setTimeout(() => {
            writeHead(socket, requestId, "Response-Signature: s\r\nContent-Length: 2\r\n");
            socket.write("ok");
        }, delayMs);
    };
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
        const { fleet } = await createRawFleet(t, "engine", serves);
        const isChecked = checkStreams(t, fleet);
        // The streams have got their first events, and the follower reads changes within 0.6 s.
        await new Promise(resolve => setTimeout(resolve, 300));
        if (change === "evacuated") {
            fleet.store.write("op/evacuate/a", {});
        }
        else {
            ["raw-0", "raw-1"].forEach(id => fleet.store.remove(`servers/${id}`));
        }
        await isChecked;
    });
}

// A request was answered 502 although its only target would have answered in time.
test.serial("answers a safe request whose only target falls silent for 700 ms", async t => {
    const { fleet } = await createRawFleet(t, "plain", [serveAnswer(700)]);
    const results = await Promise.all(Array.from({ length: REQUESTS }, () => sendToFleet(fleet, "/safe/x")));
    t.deepEqual(results.map(({ status }) => status), results.map(() => 200));
});

// The time that a plain target usually takes was not learnt.
test.serial("answers safe requests to a target that always takes 900 ms", async t => {
    const { fleet, targets } = await createRawFleet(t, "plain", [serveAnswer(900)]);
    for (let round = 0; round < 4; round += 1) {
        const results = await Promise.all(
            Array.from({ length: REQUESTS }, () => sendToFleet(fleet, "/safe/x")),
        );
        t.deepEqual(results.map(({ status }) => status), results.map(() => 200), `round ${round}`);
    }
    t.is(targets[0]?.requestIds.length, 4 * REQUESTS);
});

// Targets that always take longer than 1.5 objectives got each request twice.
test.serial("sends no second attempt once it is known how long all targets take", async t => {
    const { fleet, targets } = await createRawFleet(t, "plain", [serveAnswer(700), serveAnswer(700)]);
    const countArrivals = (): number => targets.flatMap(({ requestIds }) => requestIds).length;
    for (let round = 0; round < 3; round += 1) {
        await Promise.all(Array.from({ length: REQUESTS }, () => sendToFleet(fleet, "/safe/x")));
    }
    const before = countArrivals();
    await Promise.all(Array.from({ length: REQUESTS }, () => sendToFleet(fleet, "/safe/x")));
    t.is(countArrivals() - before, REQUESTS);
});

// A second attempt of a safe request was its only one, also when the first target was about to answer.
test.serial("answers a safe request whose first target answers while the second is silent", async t => {
    const delays = [700, 5000];
    const open = new Set<RawRequest["socket"]>();
    const serve = (request: RawRequest): void => {
        open.add(request.socket);
        request.socket.on("close", () => open.delete(request.socket));
        serveAnswer(delays.shift() ?? 0)(request);
    };
    const { fleet, targets } = await createRawFleet(t, "plain", [serve, serve]);
    t.is((await sendToFleet(fleet, "/safe/x")).status, 200);
    t.is(targets.flatMap(({ requestIds }) => requestIds).length, 2);
    await waitUntil("the second attempt is stopped", () => open.size <= 1, GONE_MS);
});

// The attempt at a silent target goes on, so that no failure was recorded and further requests followed it there.
test.serial("sends requests to other targets once one is silent", async t => {
    let silentIndex: number | undefined;
    const { fleet, targets } = await createRawFleet(
        t,
        "plain",
        [0, 1].map(index => (request: RawRequest): void => {
            silentIndex ??= index;
            if (index !== silentIndex) {
                serveAnswer(0)(request);
            }
        }),
    );
    for (let i = 0; i < REQUESTS; i += 1) {
        t.is((await sendToFleet(fleet, "/safe/x")).status, 200);
    }
    t.is(targets[silentIndex ?? 0]?.requestIds.length, 1);
});

test.serial("passes on the error of one target if the other one breaks off", async t => {
    let arrivals = 0;
    const { fleet } = await createRawFleet(
        t,
        "plain",
        [0, 1].map(() => ({ socket, requestId }: RawRequest): void => {
            arrivals += 1;
            if (arrivals === 1) {
                setTimeout(() => socket.resetAndDestroy(), 900);
                return;
            }
            writeHead(socket, requestId, "Content-Length: 0\r\n", "500 Internal Server Error");
        }),
    );
    t.is((await sendToFleet(fleet, "/safe/x")).status, 500);
    t.is(arrivals, 2);
});

// The failure of one attempt would end a request of which another attempt is about to be answered.
test.serial("answers a safe request whose second target fails while the first is silent", async t => {
    const answers = [
        serveAnswer(900),
        ({ socket, requestId }: RawRequest): void =>
            writeHead(socket, requestId, "Content-Length: 0\r\n", "500 Internal Server Error"),
        ({ socket }: RawRequest): void => void socket.resetAndDestroy(),
    ];
    for (const failure of [1, 2]) {
        const arrivals: RawRequest[] = [];
        const serve = (request: RawRequest): void => {
            arrivals.push(request);
            answers[arrivals.length === 1 ? 0 : failure]?.(request);
        };
        const { fleet } = await createRawFleet(t, "plain", [serve, serve]);
        t.is((await sendToFleet(fleet, "/safe/x")).status, 200);
        t.is(arrivals.length, 2);
        await fleet.close();
    }
});

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

// Only one of two attempts in progress would be stopped.
test.serial("stops all attempts of a request whose caller leaves", async t => {
    const open = new Set<RawRequest["socket"]>();
    let arrivals = 0;
    const serve = ({ socket }: RawRequest): void => {
        arrivals += 1;
        open.add(socket);
        socket.on("close", () => open.delete(socket));
    };
    const { fleet } = await createRawFleet(t, "plain", [serve, serve]);
    const [instance] = fleet.instances;
    const { hostname, port } = new URL(instance ? fleet.getUrls(instance).callers : "");
    const caller = connect(Number(port), hostname);
    caller.write("GET /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: left\r\nDeadline-Ms: 4000\r\n\r\n");
    await waitUntil("both targets have the request", () => arrivals === 2);
    t.is(open.size, 2);
    const leftAt = performance.now();
    caller.end();
    await waitUntil("both connections are closed", () => open.size === 0);
    t.true(performance.now() - leftAt < GONE_MS);
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
