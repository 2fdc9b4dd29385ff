import test from "ava";
import { planRequestEnd } from "../../../src/core/routing/planRequestEnd.js";

const CAUSES = [
    "deadline",
    "target-failed",
    "no-target",
    "stopping",
    "internal-error",
    "body-too-large",
    "memory-limit",
    "unreadable",
    "read-too-late",
    "body-stalled",
    "body-shed",
    401,
    404,
    429,
    503,
] as const;
const PROMISES = [408, 421, 429, 503];

test("closes a response of which a byte was sent, whatever ends the request", t => {
    for (const cause of CAUSES) {
        for (const mayHaveRun of [false, true]) {
            t.deepEqual(planRequestEnd({ cause, isStarted: true, mayHaveRun, retryAfterMs: 1 }), {
                kind: "close",
            });
        }
    }
});

test("promises that a request has not run only if none of its targets may have run it", t => {
    for (const cause of CAUSES) {
        const end = planRequestEnd({ cause, isStarted: false, mayHaveRun: true, retryAfterMs: 1 });
        t.true(end.kind === "respond" && !PROMISES.includes(end.status), String(cause));
    }
});

test("answers each request of which nothing was sent, with the status of its cause", t => {
    const find = (cause: typeof CAUSES[number], mayHaveRun: boolean): unknown => {
        const end = planRequestEnd({ cause, isStarted: false, mayHaveRun, retryAfterMs: 1 });
        return end.kind === "respond" ? end.status : end.kind;
    };
    t.deepEqual(CAUSES.map(cause => find(cause, false)), [
        503,
        503,
        503,
        503,
        503,
        413,
        503,
        400,
        408,
        408,
        503,
        401,
        404,
        429,
        503,
    ]);
    t.deepEqual(CAUSES.slice(0, 5).map(cause => find(cause, true)), [504, 502, 502, 502, 502]);
});

test("says when to return only with 503, and reads no further request after the last one", t => {
    const context = { isStarted: false, mayHaveRun: false, retryAfterMs: 300 };
    t.deepEqual(planRequestEnd({ ...context, cause: "no-target" }), {
        kind: "respond",
        status: 503,
        retryAfterMs: 300,
        isLast: false,
    });
    // Requests that were read behind it are refused on the same connection.
    t.deepEqual(planRequestEnd({ ...context, cause: "stopping", mayHaveRun: true }), {
        kind: "respond",
        status: 502,
        retryAfterMs: undefined,
        isLast: false,
    });
    t.deepEqual(planRequestEnd({ ...context, cause: "unreadable" }), {
        kind: "respond",
        status: 400,
        retryAfterMs: undefined,
        isLast: true,
    });
});
