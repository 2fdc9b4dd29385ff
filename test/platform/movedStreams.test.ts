import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUESTS = 6;
const EVENTS = 6;
const SILENT_MS = 1700;
const STREAM_HEADERS =
    "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

const REFUSE: (request: RawRequest) => void = ({ socket, requestId }) =>
    writeHead(socket, requestId, "Not-Executed: full\r\nContent-Length: 0\r\n", "503 Service Unavailable");
const RESET: (request: RawRequest) => void = ({ socket }) => void socket.resetAndDestroy();

/** Serves the first run of each stream, which is silent once after an event, and its resumption; another target gets `serveOther`. */
function createServes(
    silentAfter: number,
    serveOther: (request: RawRequest) => void,
): readonly ((request: RawRequest) => void)[] {
    const firstTargets = new Map<string, number>();
    return [0, 1].map(index => request => {
        const { socket, requestId, lastEventId } = request;
        const first = firstTargets.get(requestId);
        if (first !== undefined && first !== index) {
            serveOther(request);
            return;
        }
        firstTargets.set(requestId, index);
        writeHead(socket, requestId, STREAM_HEADERS);
        const writeEvents = (from: number, to: number): void => {
            for (let id = from; id <= to; id += 1) {
                socket.write(formatChunk(formatEvent(id, requestId)));
            }
        };
        const start = Number(lastEventId ?? 0) + 1;
        const isFirst = first === undefined;
        if (isFirst) {
            writeEvents(1, silentAfter);
        }
        setTimeout(() => {
            writeEvents(isFirst ? silentAfter + 1 : start, EVENTS);
            socket.write("0\r\n\r\n");
        }, isFirst ? SILENT_MS : 0);
    });
}

async function checkStreams(
    t: ExecutionContext,
    serves: readonly ((request: RawRequest) => void)[],
): Promise<void> {
    const { fleet } = await createRawFleet(t, "engine", serves);
    const outcomes = await Promise.all(Array.from({ length: REQUESTS }, async (_, i) => {
        const requestId = `moved-${i}`;
        const { status, isWhole, body } = await sendToFleet(fleet, "/stream/x", { "Request-Id": requestId });
        const expected = Array.from({ length: EVENTS }, (_, j) => formatEvent(j + 1, requestId)).join("");
        return `${status} ${
            isWhole && body === expected ? "complete" : `cut after ${body.split("\n\n").length - 1} events`
        }`;
    }));
    t.deepEqual(outcomes, outcomes.map(() => "200 complete"));
}

const CASES = [
    { name: "refuses it", serveOther: REFUSE },
    { name: "closes the connection", serveOther: RESET },
];

// A silent target was given up for good for one that then did not serve the stream, so that nothing was left.
for (const { name, serveOther } of CASES) {
    for (const silentAfter of [0, 3]) {
        const place = silentAfter === 0 ? "before its first event" : `after event ${silentAfter}`;
        test.serial(`completes a stream, silent ${place}, that moves to a target that ${name}`, async t => {
            await checkStreams(t, createServes(silentAfter, serveOther));
        });
    }
}

/** `TWICE`: another target may not go on with a stream while the one before still works on it this much later. */
const MAX_OVERLAP_MS = 400;

// Guards against two runs of a stream: the silent target is not told that another one has taken over.
test.serial("closes the connection of a silent run soon after another one was sent that is slow to begin", async t => {
    const overlaps: number[] = [];
    const closedAt = new Map<string, Promise<number>>();
    const serve = (request: RawRequest): void => {
        const { socket, requestId } = request;
        writeHead(socket, requestId, STREAM_HEADERS);
        const before = closedAt.get(requestId);
        if (before) {
            const sentAt = performance.now();
            void before.then(at => overlaps.push(at - sentAt));
            setTimeout(() => {
                Array.from(
                    { length: EVENTS },
                    (_, i) => socket.write(formatChunk(formatEvent(i + 1, requestId))),
                );
                socket.write("0\r\n\r\n");
            }, MAX_OVERLAP_MS + 100);
            return;
        }
        closedAt.set(requestId, new Promise(resolve => socket.on("close", () => resolve(performance.now()))));
    };
    await checkStreams(t, [serve, serve]);
    t.is(overlaps.length, REQUESTS);
    t.true(overlaps.every(ms => ms < MAX_OVERLAP_MS), overlaps.join());
});

/** Longer than a target of a stream may be silent before a further one is tried. */
const REPORT_DELAY_MS = 1100;

// The run that was set aside first was forgotten if a further target was found soon: its connection and its slot stayed in use.
test.serial("closes the connection of a silent run if the target in its place is followed by another one", async t => {
    const open = new Set<RawRequest["socket"]>();
    const serve = ({ socket, requestId, lastEventId }: RawRequest): void => {
        writeHead(socket, requestId, STREAM_HEADERS);
        if (lastEventId === undefined) {
            open.add(socket);
            socket.on("close", () => open.delete(socket));
            socket.write(formatChunk(formatEvent(1, requestId)));
            return;
        }
        setTimeout(() => {
            for (let id = Number(lastEventId) + 1; id <= EVENTS; id += 1) {
                socket.write(formatChunk(formatEvent(id, requestId)));
            }
            socket.write("0\r\n\r\n");
        }, MAX_OVERLAP_MS);
    };
    const { fleet, targets } = await createRawFleet(t, "engine", [serve, serve, serve]);
    targets.forEach(target => {
        target.reportDelayMs = REPORT_DELAY_MS;
    });
    await sendToFleet(fleet, "/stream/x", { "Request-Id": "followed", "Deadline-Ms": "6000" });
    await new Promise(resolve => setTimeout(resolve, MAX_OVERLAP_MS));
    t.is(open.size, 0);
});
