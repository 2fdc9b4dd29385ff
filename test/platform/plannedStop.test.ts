import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createSlowFleet } from "../testing/router/createSlowFleet.js";
import { KeptCaller } from "../testing/router/keptCaller.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const KINDS = ["unsafe", "once", "stream"] as const;
const STOP_SECONDS = 8;
const INTERVAL_MS = 250;
const LAST_SENT_MS = 7400;
/** The process listens until then at least; a request that crosses the close of its connection fails within the slack. */
const LINGER_MS = 6000;
const CLOSE_SLACK_MS = 200;
/** A request sent by then ends before the end of the stop timeout, whatever it takes of its route's timeout. */
const SURE_MS = 3000;

// What a late request may take was guessed from its tokens: requests that take 3 s and more were passed on in the last
// seconds of the stop timeout and cut at its end, also those that may not be repeated.
test.serial("planned stop: passes on no late request that may last beyond the stop timeout, and answers all", async t => {
    const { fleet, targets } = await createSlowFleet(t, {
        stopTimeoutSeconds: STOP_SECONDS,
        timeoutMs: 4000,
        plainMs: 3000,
        streamMs: 3500,
    });
    const count = LAST_SENT_MS / INTERVAL_MS;
    const callers: KeptCaller[] = [];
    for (let i = 0; i < count * KINDS.length; i += 1) {
        callers.push(await KeptCaller.create(fleet, "/safe/x"));
    }
    t.teardown(() => callers.forEach(caller => caller.close()));
    const [instance] = fleet.instances;
    const stopped = instance?.process.stop("SIGTERM");
    const startedAt = performance.now();
    const sent: Promise<object>[] = [];
    for (let i = 1; i <= count; i += 1) {
        await new Promise(resolve => setTimeout(resolve, startedAt + i * INTERVAL_MS - performance.now()));
        for (const kind of KINDS) {
            const requestId = `${kind}-${i}`;
            const sentMs = performance.now() - startedAt;
            const request = callers.pop()?.send(`/${kind}/x`, requestId) ?? t.fail() as never;
            sent.push(request.then(({ status, isWhole }) => {
                const isRun = targets.some(target => target.requestIds.includes(requestId));
                const ms = performance.now() - startedAt - sentMs;
                const isCrossed = status === 0 && !isRun && sentMs > LINGER_MS && ms < CLOSE_SLACK_MS;
                const cut = isCrossed ? "crossed" : `cut ${status}`;
                const outcome = `${isWhole ? status : cut}${isRun ? " run" : ""}`;
                return { requestId, sentMs: Math.round(sentMs), outcome };
            }));
        }
    }
    t.is(await stopped, 0);
    const results = await Promise.all(sent) as { requestId: string; sentMs: number; outcome: string; }[];
    const isSound = ({ sentMs, outcome }: typeof results[0]): boolean =>
        outcome === "200 run" || outcome === "crossed" || (outcome === "503" && sentMs > SURE_MS);
    t.deepEqual(results.filter(result => !isSound(result)), []);
});

const LONG_TIMEOUT_MS = 15_000;
const SHORT_STREAM_MS = 1500;

// Only the deadline of a request is certain. Without an estimate, all streams with a long timeout would be refused from
// the first moment of a stop, while most callers still know this instance only.
test.serial("planned stop: early requests of a route with a long timeout are served as long as the route's requests end in time", async t => {
    const { fleet } = await createSlowFleet(t, {
        stopTimeoutSeconds: STOP_SECONDS,
        timeoutMs: LONG_TIMEOUT_MS,
        plainMs: SHORT_STREAM_MS,
        streamMs: SHORT_STREAM_MS,
    });
    const callers: KeptCaller[] = [];
    t.teardown(() => callers.forEach(caller => caller.close()));
    for (let i = 0; i < 30; i += 1) {
        callers.push(await KeptCaller.create(fleet, "/safe/x"));
    }
    const send = async (kind: typeof KINDS[number], requestId: string): Promise<number> => {
        const caller = callers.pop() ?? t.fail() as never;
        return (await caller.send(`/${kind}/x`, `${kind}-${requestId}`)).status;
    };
    await Promise.all([0, 1, 2, 3, 4, 5].map(i => send("once", `before-${i}`)));
    const stopped = fleet.instances[0]?.process.stop("SIGTERM");
    const early = [];
    for (let i = 0; i < 8; i += 1) {
        early.push(send("once", `early-${i}`));
        await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    }
    const unknown = await send("stream", "unknown");
    await new Promise(resolve => setTimeout(resolve, SURE_MS - 8 * INTERVAL_MS));
    t.is(await send("once", "late"), 503);
    t.is(unknown, 503, "nothing is known of the route");
    t.deepEqual(await Promise.all(early), early.map(() => 200));
    t.is(await stopped, 0);
});

// A second signal ended the process at once, with all requests that it was serving.
test.serial("planned stop: a second SIGTERM and a SIGHUP do not end the requests that are being served", async t => {
    const { fleet } = await createSlowFleet(t, {
        stopTimeoutSeconds: STOP_SECONDS,
        timeoutMs: 4000,
        plainMs: 2000,
        streamMs: 2000,
    });
    const [instance] = fleet.instances;
    const caller = await KeptCaller.create(fleet, "/safe/x");
    t.teardown(() => caller.close());
    const stopped = instance?.process.stop("SIGTERM");
    const served = caller.send("/unsafe/x", "unsafe-1");
    await new Promise(resolve => setTimeout(resolve, INTERVAL_MS));
    instance?.process.kill("SIGTERM");
    instance?.process.kill("SIGHUP");
    const { status, isWhole } = await served;
    t.is(status, 200);
    t.true(isWhole);
    t.is(await stopped, 0);
});

// A request whose body came late was passed on, however near the end was.
test.serial("planned stop: a request whose body ends late is refused if it may not end in time", async t => {
    const { fleet, targets } = await createSlowFleet(t, {
        stopTimeoutSeconds: STOP_SECONDS,
        timeoutMs: LONG_TIMEOUT_MS,
        plainMs: SHORT_STREAM_MS,
        streamMs: SHORT_STREAM_MS,
    });
    const [instance] = fleet.instances;
    const stopped = instance?.process.stop("SIGTERM");
    const startedAt = performance.now();
    const { hostname, port } = new URL(instance ? fleet.getUrls(instance).callers : "");
    const socket = connect(Number(port), hostname);
    let received = "";
    socket.on("data", data => received += data.toString());
    const closed = once(socket, "close");
    socket.write("POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: once-late\r\nDeadline-Ms: 14000\r\n");
    socket.write("Content-Length: 10\r\n\r\n12345");
    const lateMs = STOP_SECONDS * 1000 - SHORT_STREAM_MS;
    await new Promise(resolve => setTimeout(resolve, startedAt + lateMs - performance.now()));
    socket.write("67890");
    await closed;
    t.regex(received, /^HTTP\/1\.1 503 /);
    t.false(targets.some(target => target.requestIds.includes("once-late")));
    t.is(await stopped, 0);
});

const SLOW_SLOTS = 80;
const WAITING = 20;

// A request that no target had been found for was cut at the end of the stop without an answer, though it had not run.
test.serial("planned stop: requests that still wait for a target at its end are refused", async t => {
    const { fleet, targets } = await createSlowFleet(t, {
        stopTimeoutSeconds: 4,
        timeoutMs: LONG_TIMEOUT_MS,
        plainMs: LONG_TIMEOUT_MS,
        streamMs: SHORT_STREAM_MS,
    });
    const callers: KeptCaller[] = [];
    t.teardown(() => callers.forEach(caller => caller.close()));
    for (let i = 0; i < SLOW_SLOTS + WAITING; i += 1) {
        callers.push(await KeptCaller.create(fleet, "/safe/x"));
    }
    const sent = callers.map((caller, i) => caller.send("/unsafe/x", `unsafe-${i}`));
    const countRuns = (): number => targets.flatMap(target => target.requestIds).length;
    // One request has shown that the routes are known.
    await waitUntil("all slots are in use", () => countRuns() === SLOW_SLOTS + 1);
    const stopped = fleet.instances[0]?.process.stop("SIGTERM");
    const statuses = (await Promise.all(sent)).map(({ status }) => status);
    t.is(statuses.filter(status => status === 503).length, WAITING);
    t.is(countRuns(), SLOW_SLOTS + 1);
    t.is(await stopped, 0);
});
