import test from "ava";
import { ErrorBoundary } from "../../src/router/errorBoundary.js";

test("unexpected error: ends only the message that caused it, and the process when uncaught ones do not stop", t => {
    const lines: string[] = [];
    let errors = 0;
    let fatal = 0;
    let now = 0;
    const boundary = ErrorBoundary.create({
        log: { write: event => lines.push(event) },
        onError: () => errors += 1,
        onFatal: () => fatal += 1,
        getNow: () => now,
    });
    let failed = 0;
    // A peer that sends a malformed report with each turn must not take the process down.
    for (let i = 0; i < 200; i += 1) {
        now += 10;
        boundary.run("peer-report", () => {
            throw new TypeError("bad message");
        }, () => failed += 1);
    }
    t.deepEqual([errors, failed, fatal], [200, 200, 0]);
    for (let i = 0; i < 200; i += 1) {
        now += 1000;
        boundary.recordUncaught("process", new Error("now and then"));
    }
    t.is(fatal, 0);
    for (let i = 0; i < 60; i += 1) {
        boundary.recordUncaught("process", new Error("without end"));
    }
    t.true(fatal > 0);
    t.is(lines.length, errors);
});
