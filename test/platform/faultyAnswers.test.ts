import test, { registerCompletionHandler } from "ava";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUESTS = 20;
const LATE_MS = 60;
/** A request that is known to fail is refused within this time; it has four seconds. */
const PROMPT_REFUSAL_MS = 2000;
const EVENT_STREAM = "Content-Type: text/event-stream\r\n";

function writeAnswer({ socket, requestId }: RawRequest): void {
    writeHead(socket, requestId, `Response-Signature: s.${requestId}\r\nContent-Length: 2\r\n`);
    socket.write("ok");
}

function writeRefusal({ socket }: RawRequest, requestId: string): void {
    writeHead(socket, requestId, "Not-Executed: 1\r\nContent-Length: 0\r\n", "503 Service Unavailable");
}

// A refusal was believed before its identifier was compared, so that a request that ran counted as not executed.
for (const isAnswered of [false, true]) {
    const sequel = isAnswered ? ", followed by the answer" : "";
    test.serial(`counts a request as executed whose target repeats an earlier refusal on a kept connection${sequel}`, async t => {
        const serve = (request: RawRequest): void => {
            if (request.previousId === undefined) {
                writeAnswer(request);
                return;
            }
            writeRefusal(request, request.previousId);
            if (isAnswered) {
                setTimeout(() => writeAnswer(request), LATE_MS);
            }
        };
        const { fleet, targets } = await createRawFleet(t, "plain", [serve, serve, serve, serve]);
        const ids = new Map<string, number>();
        for (let i = 0; i < REQUESTS; i += 1) {
            const requestId = `repeated-${i}`;
            const { status } = await sendToFleet(fleet, "/safe/x", { "Request-Id": requestId });
            const runs = targets.flatMap(target => target.requestIds).filter(id => id === requestId).length;
            ids.set(requestId, runs);
            t.true(runs <= 2, `${requestId} ran ${runs} times`);
            t.true(status === 200 || status === 502, `${requestId}: ${status}`);
        }
        t.true([...ids.values()].some(runs => runs === 2), "some requests met the fault");
    });
}

/** Answers the first run of a stream with two events and part of a third, and each later one with a function. */
function serveBroken(resume: (request: RawRequest) => void): (request: RawRequest) => void {
    return request => {
        const { socket, requestId, lastEventId } = request;
        if (lastEventId !== undefined) {
            resume(request);
            return;
        }
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\n${EVENT_STREAM}Transfer-Encoding: chunked\r\n`,
        );
        socket.write(formatChunk(formatEvent(1, requestId) + formatEvent(2, requestId) + "id: 3\nda"));
        setTimeout(() => socket.resetAndDestroy(), LATE_MS);
    };
}

const RESUMES: Readonly<Record<string, (request: RawRequest) => void>> = {
    "an empty body": ({ socket, requestId }) =>
        writeHead(socket, requestId, `Response-Signature: s\r\n${EVENT_STREAM}Content-Length: 0\r\n`),
    "JSON": ({ socket, requestId }) => {
        writeHead(
            socket,
            requestId,
            "Response-Signature: s\r\nContent-Type: application/json\r\nContent-Length: 20\r\n",
        );
        socket.write('{"error": "unknown"}'.slice(0, 18) + "\n\n");
    },
    "events of another type": ({ socket, requestId }) => {
        const events = formatEvent(3, requestId);
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\nContent-Type: text/plain\r\nContent-Length: ${events.length}\r\n`,
        );
        socket.write(events);
    },
    "unsigned events": ({ socket, requestId }) => {
        const events = formatEvent(3, requestId);
        writeHead(socket, requestId, `${EVENT_STREAM}Content-Length: ${events.length}\r\n`);
        socket.write(events);
    },
    "its first event again": ({ socket, requestId }) => {
        const events = [1, 2, 3].map(id => formatEvent(id, requestId)).join("");
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\n${EVENT_STREAM}Content-Length: ${events.length}\r\n`,
        );
        socket.write(events);
    },
    "a later event than the next": ({ socket, requestId }) => {
        const events = [4, 5].map(id => formatEvent(id, requestId)).join("");
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\n${EVENT_STREAM}Content-Length: ${events.length}\r\n`,
        );
        socket.write(events);
    },
};

// The body of any response with status 200 was joined to the stream, whatever it was, and its end completed the stream.
for (const [name, resume] of Object.entries(RESUMES)) {
    test.serial(`resumed stream: cuts a stream that the next target goes on with ${name}`, async t => {
        const resumedAfter: unknown[] = [];
        const serve = serveBroken(request => {
            resumedAfter.push(request.lastEventId);
            resume(request);
        });
        const { fleet } = await createRawFleet(t, "engine", [serve, serve, serve]);
        const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
        t.is(body, formatEvent(1, "r") + formatEvent(2, "r"));
        t.false(isWhole);
        t.deepEqual(resumedAfter, ["2", "2"]);
    });
}

test.serial("resumed stream: does not repeat a stream whose events have no identifiers", async t => {
    const serve = ({ socket, requestId }: RawRequest): void => {
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\n${EVENT_STREAM}Transfer-Encoding: chunked\r\n`,
        );
        socket.write(formatChunk("data: first\n\n"));
        setTimeout(() => socket.resetAndDestroy(), LATE_MS);
    };
    const { fleet, targets } = await createRawFleet(t, "engine", [serve, serve]);
    const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
    t.is(body, "data: first\n\n");
    t.false(isWhole);
    t.is(targets.flatMap(({ requestIds }) => requestIds).length, 1);
});

test.serial("resumed stream: goes on with the next event of a signed stream", async t => {
    const serve = serveBroken(({ socket, requestId }) => {
        const events = [3, 4].map(id => formatEvent(id, requestId)).join("");
        writeHead(
            socket,
            requestId,
            `Response-Signature: s\r\n${EVENT_STREAM}Content-Length: ${events.length}\r\n`,
        );
        // The first event arrives in two pieces.
        socket.write(events.slice(0, 4));
        setTimeout(() => socket.write(events.slice(4)), LATE_MS);
    });
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
    t.is(body, [1, 2, 3, 4].map(id => formatEvent(id, "r")).join(""));
    t.true(isWhole);
});

test.serial("resumed stream: completes a stream whose events had all arrived", async t => {
    const serve = (request: RawRequest): void => {
        const { socket, requestId, lastEventId } = request;
        const headers = `Response-Signature: s\r\n${EVENT_STREAM}`;
        if (lastEventId !== undefined) {
            writeHead(socket, requestId, `${headers}Content-Length: 0\r\n`);
            return;
        }
        writeHead(socket, requestId, `${headers}Transfer-Encoding: chunked\r\n`);
        socket.write(formatChunk(formatEvent(1, requestId)));
        setTimeout(() => socket.resetAndDestroy(), LATE_MS);
    };
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
    t.is(body, formatEvent(1, "r"));
    t.true(isWhole);
});

// An event that a run had broken off counted as missing also after a later run had sent it.
test.serial("resumed stream: completes a stream whose broken event has arrived in a later run", async t => {
    const serve = ({ socket, requestId, lastEventId }: RawRequest): void => {
        const headers = `Response-Signature: s\r\n${EVENT_STREAM}`;
        if (lastEventId === "3") {
            writeHead(socket, requestId, `${headers}Content-Length: 0\r\n`);
            return;
        }
        writeHead(socket, requestId, `${headers}Transfer-Encoding: chunked\r\n`);
        const events = [1, 2].map(id => formatEvent(id, requestId)).join("");
        // A reset could overtake the events.
        socket.end(
            formatChunk(lastEventId === "2" ? formatEvent(3, requestId) : `${events}id: 3\nda`),
        );
    };
    const { fleet } = await createRawFleet(t, "engine", [serve, serve, serve]);
    const { body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
    t.is(body, [1, 2, 3].map(id => formatEvent(id, "r")).join(""));
    t.true(isWhole);
});

// All targets had failed the stream, and it waited for another one until its deadline.
test.serial("refuses a request at once when all its targets have closed in the middle of their heads", async t => {
    const heads = ["HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nRequest-"];
    for (const head of heads) {
        const serve = ({ socket }: RawRequest): void => {
            socket.end(head);
        };
        const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
        const sentAt = performance.now();
        const { status } = await sendToFleet(fleet, "/stream/x");
        t.true(performance.now() - sentAt < PROMPT_REFUSAL_MS, head);
        t.is(status, 502, head);
        await fleet.close();
    }
});

// The error response that was kept of the first target cannot follow events of the second one.
test.serial("cuts a stream that breaks off after another target had answered it with an error", async t => {
    let arrivals = 0;
    const serve = (request: RawRequest): void => {
        arrivals += 1;
        if (arrivals === 1) {
            writeHead(
                request.socket,
                request.requestId,
                "Content-Length: 0\r\n",
                "500 Internal Server Error",
            );
            return;
        }
        serveBroken(() => undefined)(request);
    };
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    const { status, body, isWhole } = await sendToFleet(fleet, "/stream/x", { "Request-Id": "r" });
    t.is(status, 200);
    t.is(body, formatEvent(1, "r") + formatEvent(2, "r"));
    t.false(isWhole);
    t.is(arrivals, 2);
});
