import test, { registerCompletionHandler } from "ava";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** A reset at once could overtake the events. */
const BREAK_MS = 30;
const STREAMS: Readonly<Record<string, readonly string[]>> = {
    "by-1": ["1", "2", "3", "4", "5"],
    "by-6": ["6", "12", "18", "24", "30"],
    "by-6-from-1": ["1", "7", "13", "19", "25"],
    "by-6-with-a-rest": ["6", "12", "18", "24", "26"],
    "uneven": ["3", "5", "12", "13", "40"],
    "large": [
        "9007199254740991",
        "9007199254740993",
        "9007199254740995",
        "9007199254740997",
        "9007199254740999",
    ],
    "text": ["a1", "b7", "c2", "d5", "e0"],
};

/**
 * Request identifiers begin with `stream.breakAfter`; each run breaks after so many events, the last run not. Those that end
 * with `once` do not go on.
 */
function serve({ socket, requestId, lastEventId }: RawRequest): void {
    const [name = "", breakAfter] = requestId.split(".");
    if (lastEventId !== undefined && requestId.endsWith("once")) {
        socket.resetAndDestroy();
        return;
    }
    const ids = STREAMS[name] ?? [];
    const from = lastEventId === undefined ? 0 : ids.indexOf(lastEventId) + 1;
    const rest = ids.slice(from, from + Number(breakAfter));
    const isBroken = from + rest.length < ids.length;
    const headers =
        "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    writeHead(socket, requestId, headers);
    socket.write(formatChunk(rest.map(formatEvent).join("") + (isBroken ? "id: 0\nda" : "")));
    if (isBroken) {
        setTimeout(() => socket.resetAndDestroy(), BREAK_MS);
    }
    else {
        socket.write("0\r\n\r\n");
    }
}

function formatEvent(id: string): string {
    return `id: ${id}\ndata: several tokens\n\n`;
}

// Only the last identifier plus 1 was accepted, so that other streams never went on, and their targets counted as failing.
test.serial("streams with identifiers of any steps go on after a crash of their target, and after a second one", async t => {
    const { fleet } = await createRawFleet(t, "engine", [serve, serve, serve, serve]);
    for (const [name, ids] of Object.entries(STREAMS)) {
        for (const breakAfter of [2, 3, 4]) {
            const { body, isWhole } = await sendToFleet(fleet, "/stream/x", {
                "Request-Id": `${name}.${breakAfter}`,
            });
            t.is(body, ids.map(formatEvent).join(""), `${name} ${breakAfter}`);
            t.true(isWhole, `${name} ${breakAfter}`);
        }
    }
});

test.serial("streams with identifiers of any steps go on at the event after which their caller takes them up", async t => {
    const { fleet } = await createRawFleet(t, "engine", [serve, serve, serve, serve]);
    await Promise.all(
        Object.entries(STREAMS).map(async ([name, ids]) => {
            for (const breakAfter of [1, 2, 9]) {
                const begun = await sendToFleet(fleet, "/stream/x", {
                    "Request-Id": `${name}.2.${breakAfter}.once`,
                });
                t.false(begun.isWhole);
                const taken = {
                    "Request-Id": `${name}.${breakAfter}`,
                    "Last-Event-Id": ids[1] ?? "",
                    "Resumes": `${name}.2.${breakAfter}.once`,
                };
                const { body, isWhole } = await sendToFleet(fleet, "/stream/x", taken);
                t.is(body, ids.slice(2).map(formatEvent).join(""), `${name} ${breakAfter}`);
                t.true(isWhole, `${name} ${breakAfter}`);
            }
        }),
    );
});
