import test from "ava";
import { ErrorBoundary } from "../../src/router/errorBoundary.js";

test("unexpected error: ends only the message that caused it, and the process when errors do not stop", t => {
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
    const fail = (): void => {
        throw new TypeError("bad message");
    };
    for (let i = 0; i < 200; i += 1) {
        now += 1000;
        boundary.run("test", fail, () => failed += 1);
    }
    t.deepEqual([errors, failed, fatal], [200, 200, 0]);
    for (let i = 0; i < 60; i += 1) {
        boundary.run("test", fail);
    }
    t.true(fatal > 0);
    t.is(lines.length, errors);
});
