import test, { type ExecutionContext, registerCompletionHandler } from "ava";
import type { Socket } from "node:net";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { formatChunk } from "../testing/router/formatChunk.js";
import { formatEvent } from "../testing/router/formatEvent.js";
import type { RawTarget } from "../testing/router/rawTarget.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";
import { writeHead } from "../testing/router/writeHead.js";

type RawRequest = Parameters<Parameters<typeof RawTarget.create>[3]>[0];

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUESTS = 24;
const TARGETS = 3;
const EVENTS = 3;
const EVENT_MS = 20;
/** Two runs of a stream may overlap for this long. */
const MAX_OVERLAP_MS = 400;
const REFUSALS = {
    "503": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "421": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
} as const;
const ROUTES = { engine: ["/once/x", "/stream/x"], plain: ["/unsafe/x", "/safe/x"] } as const;

interface Run {
    readonly requestId: string;
    readonly target: number;
    readonly startedAt: number;
    /** Monotonic time in milliseconds at which the connection closed or the response was complete. */
    endedAt: number;
}

interface Traffic {
    readonly fleet: Awaited<ReturnType<typeof createRawFleet>>["fleet"];
    readonly runs: readonly Run[];
    /** Requests that arrived on a connection on which a refusal without an identifier had been sent. */
    readonly reused: readonly string[];
}

/** Some requests meet the fault, so that the budget for retries suffices. */
function isMarked(requestId: string): boolean {
    return Number(requestId.split("-").at(-1)) % 4 === 3;
}

/** Runs a request: answers it with its identifier, a stream with some events. */
function run({ socket, requestId }: RawRequest, isStream: boolean, entry: Run): void {
    socket.setMaxListeners(0).once("close", () => {
        entry.endedAt = Math.min(entry.endedAt, performance.now());
    });
    if (!isStream) {
        writeHead(socket, requestId, `Response-Signature: s.${requestId}\r\nContent-Length: 2\r\n`);
        socket.write("ok");
        entry.endedAt = performance.now();
        return;
    }
    const headers =
        "Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    writeHead(socket, requestId, headers);
    for (let id = 1; id <= EVENTS; id += 1) {
        setTimeout(() => {
            socket.write(formatChunk(formatEvent(id, requestId)));
            if (id === EVENTS) {
                socket.write("0\r\n\r\n");
                entry.endedAt = Math.min(entry.endedAt, performance.now());
            }
        }, id * EVENT_MS);
    }
}

/**
 * Starts targets that refuse requests without an identifier where `isRefused` says so, and write an extra refusal of that
 * kind, late, before the answer to a request where `hasExtra` says so.
 */
async function startTargets(
    t: ExecutionContext,
    service: "engine" | "plain",
    refusal: string,
    isRefused: (target: number, arrival: number) => boolean,
    hasExtra: (request: RawRequest) => boolean,
): Promise<Traffic> {
    const runs: Run[] = [];
    const reused: string[] = [];
    const refusedOn = new WeakSet<Socket>();
    const serves = Array.from({ length: TARGETS }, (_, target) => {
        let arrivals = 0;
        return (request: RawRequest): void => {
            const { socket, requestId } = request;
            arrivals += 1;
            if (refusedOn.has(socket)) {
                reused.push(requestId);
            }
            if (hasExtra(request)) {
                socket.write(refusal);
            }
            else if (isRefused(target, arrivals)) {
                refusedOn.add(socket);
                socket.write(refusal);
                return;
            }
            const entry = {
                requestId,
                target,
                startedAt: performance.now(),
                endedAt: Number.POSITIVE_INFINITY,
            };
            runs.push(entry);
            run(request, service === "engine", entry);
        };
    });
    const { fleet } = await createRawFleet(t, service, serves);
    return { fleet, runs, reused };
}

// A refusal that named no request was believed on any connection, so that a request that ran was sent to a second target, or
// refused with a status that says that it had not run.
for (const [service, paths] of Object.entries(ROUTES)) {
    for (const status of ["503", "421"] as const) {
        test.serial(`late extra refusal without an identifier (${status}, ${service}): no request that must run once runs twice or counts as not run`, async t => {
            const { fleet, runs } = await startTargets(
                t,
                service as keyof typeof ROUTES,
                REFUSALS[status],
                (target, arrival) => target === 0 && arrival % 2 === 1,
                ({ previousId }) => previousId !== undefined,
            );
            for (let i = 0; i < REQUESTS; i += 1) {
                const requestId = `r-${i}`;
                const result = await sendToFleet(fleet, paths[0], { "Request-Id": requestId });
                const count = runs.filter(entry => entry.requestId === requestId).length;
                t.true(count <= 1, `${requestId} ran ${count} times`);
                t.is(result.status, 200, `${requestId} ran ${count} times`);
            }
        });
    }
}

test.serial("late extra refusal without an identifier: a repeatable request runs at no more targets than it may, and its run there ends", async t => {
    for (const [service, paths] of Object.entries(ROUTES)) {
        const { fleet, runs } = await startTargets(
            t,
            service as keyof typeof ROUTES,
            REFUSALS["503"],
            () => false,
            ({ previousId, requestId }) => previousId !== undefined && isMarked(requestId),
        );
        const maxRuns = service === "engine" ? 3 : 2;
        for (let i = 0; i < REQUESTS; i += 1) {
            const requestId = `r-${i}`;
            const { status, isWhole } = await sendToFleet(fleet, paths[1], { "Request-Id": requestId });
            await new Promise(resolve => setTimeout(resolve, (EVENTS + 1) * EVENT_MS));
            const own = runs.filter(entry => entry.requestId === requestId);
            t.true(own.length <= maxRuns, `${requestId} ran at ${own.length} targets`);
            t.is(status, 200, requestId);
            t.true(isWhole, requestId);
            const last = own.at(-1);
            const overlapping = own.filter(entry => last && entry.endedAt > last.startedAt + MAX_OVERLAP_MS);
            t.deepEqual(overlapping.slice(0, -1), [], requestId);
        }
        t.true(runs.length > REQUESTS, "some requests met the fault");
        await fleet.close();
    }
});

// A copy of a refusal without an identifier can only be told from an answer if nothing else is sent on its connection.
test.serial("refusal without an identifier: its connection is not used again", async t => {
    for (const [service, paths] of Object.entries(ROUTES)) {
        const { fleet, runs, reused } = await startTargets(
            t,
            service as keyof typeof ROUTES,
            REFUSALS["503"],
            (target, arrival) => target === 0 && arrival % 2 === 1,
            () => false,
        );
        for (const path of paths) {
            for (let i = 0; i < REQUESTS; i += 1) {
                const { status } = await sendToFleet(fleet, path, { "Request-Id": `${path}-${i}` });
                t.is(status, 200);
            }
        }
        t.deepEqual(reused, []);
        t.is(runs.length, 2 * REQUESTS);
        await fleet.close();
    }
});

// Full targets are common, and their refusals have no identifier.
test.serial("refusal without an identifier: each kind of request goes on at a target that is not full", async t => {
    for (const [service, paths] of Object.entries(ROUTES)) {
        const { fleet, runs } = await startTargets(
            t,
            service as keyof typeof ROUTES,
            REFUSALS["503"],
            target => target > 0,
            () => false,
        );
        for (const path of paths) {
            for (let i = 0; i < REQUESTS; i += 1) {
                const { status } = await sendToFleet(fleet, path, { "Request-Id": `${path}-${i}` });
                t.is(status, 200);
            }
        }
        t.is(runs.length, 2 * REQUESTS);
        await fleet.close();
    }
});
