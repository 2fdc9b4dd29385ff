import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import { buildCallerHeaders } from "../../src/testing/platform/buildCallerHeaders.js";
import { buildFleetConfiguration } from "../../src/testing/platform/buildFleetConfiguration.js";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendRaw } from "../testing/router/sendRaw.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const CALLERS = 4;
const EVENTS_BEFORE_END = 5;
const EVENTS = 12;
const PATIENCE_MS = 6000;
const SHORT_PATIENCE_MS = 1500;
const WAIT_MS = 300;

interface Trouble {
    readonly patienceMs?: number;
    /** What a target does after its first events. */
    readonly onWritten?: (request: RawRequest) => void;
    /** What happens once all callers have these events. */
    readonly onArrived?: (fleet: CooperativeFleet, sockets: readonly RawRequest["socket"][]) => void;
}

function resetAll(sockets: readonly RawRequest["socket"][]): void {
    sockets.forEach(socket => socket.resetAndDestroy());
}

function removeRoutes(fleet: CooperativeFleet): void {
    const configuration = buildFleetConfiguration({ version: 100, engineSlots: 16, apiKeys: [fleet.key] });
    const { routes } = configuration as { readonly routes: readonly { readonly service: string; }[]; };
    fleet.store.write("op/config", {
        ...configuration,
        routes: routes.filter(({ service }) => service !== "engine"),
    });
}

const TROUBLES: Readonly<Record<string, Trouble>> = {
    "its target resets the connection": { onArrived: (_, sockets) => resetAll(sockets) },
    "its target ends inside an event": {
        onWritten: ({ socket, requestId }) => {
            socket.end(`id: ${EVENTS_BEFORE_END + 1}\ndata: ${requestId}`);
        },
    },
    "its target stays silent until the deadline": { patienceMs: SHORT_PATIENCE_MS },
    "its route is removed and its target resets the connection": {
        onArrived: (fleet, sockets) => {
            removeRoutes(fleet);
            setTimeout(() => resetAll(sockets), WAIT_MS);
        },
    },
    "its instance reaches the end of a planned stop": {
        onArrived: fleet => fleet.instances.forEach(({ process }) => process.kill("SIGTERM")),
    },
    "its instance is killed": {
        onArrived: fleet => fleet.instances.forEach(({ process }) => process.kill("SIGKILL")),
    },
};

function buildHeaders(
    fleet: CooperativeFleet,
    requestId: string,
    patienceMs: number,
): Record<string, string> {
    return buildCallerHeaders({ requestId, patienceMs, engine: { key: fleet.key, sharedPart: "a" } });
}

/** Makes a raw target that states neither a length nor chunks and writes so many events. */
function serveEvents(
    count: number,
    onWritten?: (request: RawRequest) => void,
): (request: RawRequest) => void {
    return request => {
        const { socket, requestId } = request;
        writeHead(socket, requestId, "Response-Signature: s\r\nContent-Type: text/event-stream\r\n");
        for (let id = 1; id <= count; id += 1) {
            socket.write(formatEvent(id, requestId));
        }
        onWritten?.(request);
    };
}

function countEvents(body: string): number {
    return body.split("\n\n").length - 1;
}

async function sendStreams(
    t: ExecutionContext,
    path: string,
    trouble: Trouble,
    httpVersion?: "1.0",
): Promise<readonly Awaited<ReturnType<typeof sendRaw>>[]> {
    const sockets: RawRequest["socket"][] = [];
    const serve = serveEvents(EVENTS_BEFORE_END, request => {
        sockets.push(request.socket);
        trouble.onWritten?.(request);
    });
    const { fleet } = await createRawFleet(t, "engine", [serve, serve]);
    let arrived = 0;
    return Promise.all(Array.from({ length: CALLERS }, (_, i) => {
        let hasArrived = false;
        return sendRaw(fleet, path, {
            ...(httpVersion ? { httpVersion } : {}),
            headers: buildHeaders(fleet, `unframed-${i}`, trouble.patienceMs ?? PATIENCE_MS),
            onBytes: received => {
                if (!hasArrived && countEvents(received) >= EVENTS_BEFORE_END) {
                    hasArrived = true;
                    arrived += 1;
                    if (arrived === CALLERS) {
                        trouble.onArrived?.(fleet, sockets);
                    }
                }
            },
        });
    }));
}

// The connection to the caller ended in order, so that a part of a stream without framing looked like a whole one.
for (const [what, trouble] of Object.entries(TROUBLES)) {
    for (const path of ["/stream/x", "/once/x"]) {
        test.serial(`stream without a length: does not look complete on ${path} if ${what}`, async t => {
            const responses = await sendStreams(t, path, trouble);
            for (const { status, body, looksComplete, ending } of responses) {
                t.is(status, 200);
                t.is(countEvents(body), EVENTS_BEFORE_END);
                t.false(looksComplete, `${ending}: ${body.slice(-20)}`);
            }
        });
    }
}

// A caller of HTTP/1.0 gets no chunks, so that only a reset shows that its stream is not whole.
for (
    const what of [
        "its target resets the connection",
        "its target stays silent until the deadline",
        "its instance reaches the end of a planned stop",
    ]
) {
    test.serial(`stream to a caller of HTTP/1.0: is reset if ${what}`, async t => {
        const responses = await sendStreams(t, "/once/x", TROUBLES[what] ?? {}, "1.0");
        t.deepEqual(responses.map(({ ending }) => ending), Array.from(responses, () => "reset"));
    });
}

test.serial("stream without a length: a whole one is complete for callers of every kind", async t => {
    const serve = serveEvents(EVENTS, ({ socket }) => socket.end());
    const { fleet } = await createRawFleet(t, "engine", [serve]);
    const send = (path: string, options: Partial<Parameters<typeof sendRaw>[2]>, headers = {}) =>
        sendRaw(fleet, path, {
            headers: { ...buildHeaders(fleet, "whole", PATIENCE_MS), ...headers },
            ...options,
        });
    for (const path of ["/stream/x", "/once/x"]) {
        const kept = await send(path, { isKept: true });
        t.is(kept.ending, "complete");
        const closed = await send(path, {}, { Connection: "close" });
        t.is(closed.ending, "closed");
        const old = await send(path, { httpVersion: "1.0" });
        t.notRegex(old.head, /transfer-encoding/);
        t.is(old.ending, "closed");
        for (const { body, looksComplete } of [kept, closed, old]) {
            t.is(countEvents(body), EVENTS);
            t.true(looksComplete);
        }
    }
});

test.serial("response without a length: gets the length of its whole body", async t => {
    const serve = ({ socket, requestId }: RawRequest): void => {
        writeHead(socket, requestId, "Response-Signature: s\r\n");
        socket.end("answer");
    };
    const { fleet } = await createRawFleet(t, "plain", [serve]);
    const send = (path: string, options: Partial<Parameters<typeof sendRaw>[2]>) =>
        sendRaw(fleet, path, {
            headers: buildCallerHeaders({ requestId: "plain", patienceMs: PATIENCE_MS }),
            ...options,
        });
    for (const path of ["/safe/x", "/unsafe/x"]) {
        for (const options of [{ isKept: true }, { httpVersion: "1.0" }] as const) {
            const { head, body, looksComplete } = await send(path, options);
            t.regex(head, /\r\ncontent-length: 6/);
            t.is(body, "answer");
            t.true(looksComplete);
        }
    }
});

// The length of an answer to HEAD was replaced by that of its empty body.
for (const [length, expected] of [["Content-Length: 6\r\n", "6"], ["", undefined]] as const) {
    test.serial(`response to HEAD: has the length that its target states: ${expected ?? "none"}`, async t => {
        const serve = ({ socket, requestId }: RawRequest): void => {
            writeHead(socket, requestId, `Response-Signature: s\r\n${length}`);
            socket.end();
        };
        const { fleet } = await createRawFleet(t, "plain", [serve]);
        const { status, head } = await sendRaw(fleet, "/safe/x", {
            method: "HEAD",
            isKept: true,
            headers: buildCallerHeaders({ requestId: "head", patienceMs: PATIENCE_MS }),
        });
        t.is(status, 200);
        t.is(/\r\ncontent-length: (\d+)/.exec(head)?.[1], expected);
        t.notRegex(head, /\r\ntransfer-encoding:/);
    });
}
