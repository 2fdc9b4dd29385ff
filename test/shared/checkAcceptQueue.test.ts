import test from "ava";
import { readFile } from "node:fs/promises";
import { checkAcceptQueue } from "../../src/shared/checkAcceptQueue.js";

const LIMIT_PATH = "/proc/sys/net/core/somaxconn";

// The kernel caps the queue without an error, and resets what does not fit without a trace in the router.
test("logs an accept queue that the operating system caps, and none that it grants", async t => {
    const limit = Number(await readFile(LIMIT_PATH, "utf8").catch(() => Infinity));
    const events: object[] = [];
    const log = { write: (event: string, fields: object) => events.push({ event, ...fields }) };
    const largest = Math.min(limit, Number.MAX_SAFE_INTEGER);
    await checkAcceptQueue(largest, log);
    t.deepEqual(events, []);
    await checkAcceptQueue(largest + 1, log);
    t.deepEqual(
        events,
        limit < Infinity ? [{ event: "accept-queue-capped", backlog: limit + 1, limit }] : [],
    );
});
