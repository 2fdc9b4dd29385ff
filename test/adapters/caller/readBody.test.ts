import test from "ava";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { readBody } from "../../../src/adapters/caller/readBody.js";
import { OpenBodies } from "../../../src/core/bodies/openBodies.js";
import { HeldBytes } from "../../../src/core/memory/heldBytes.js";
import { MemoryBudget } from "../../../src/core/memory/memoryBudget.js";

const BODY_BYTES = 33_554_432;
const PART_BYTES = 65_536;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

// Guards against the listeners of a request, which stay while its connection does, as behind a slow response, holding its body.
test("a body that is ended holds no memory while its request is still there", async t => {
    const parts = new PassThrough();
    const incoming = Object.assign(parts, { headers: {}, complete: false }) as unknown as IncomingMessage;
    const openBodies = OpenBodies.create();
    const budget = MemoryBudget.create(2 * BODY_BYTES);
    const held = HeldBytes.create(budget);
    const { arrayBuffers } = process.memoryUsage();
    const body = readBody(incoming, BODY_BYTES, { held, openBodies });
    for (let sent = PART_BYTES; sent < BODY_BYTES; sent += PART_BYTES) {
        parts.write(Buffer.alloc(PART_BYTES));
    }
    await sleep(0);
    t.is(budget.usedBytes, BODY_BYTES);
    openBodies.advance(1000, 100);
    await t.throwsAsync(body, { code: "body-stalled" });
    t.is(budget.usedBytes, 0);
    await sleep(0);
    collectGarbage();
    t.true(process.memoryUsage().arrayBuffers - arrayBuffers < BODY_BYTES / 2);
    t.false(parts.destroyed);
});
