import test from "ava";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { MemoryBudget } from "../../src/core/memory/memoryBudget.js";
import { BufferedBody } from "../../src/router/bufferedBody.js";

const PART_BYTES = 1024;
/** One more than fill a capacity of 128 KiB, which doubles then. */
const PARTS = 129;

// Guards against responses that count for twice their memory until slow callers have read them, or are released twice.
test("counts what is held once a response is taken out, until the response of the caller closes", t => {
    const budget = MemoryBudget.create(1_000_000);
    const response = new EventEmitter();
    const body = BufferedBody.create(budget, response as ServerResponse);
    for (let i = 0; i < PARTS; i += 1) {
        t.true(body.append(Buffer.alloc(PART_BYTES)));
    }
    t.deepEqual(body.take().map(({ length }) => length), [PARTS * PART_BYTES]);
    t.is(budget.usedBytes, PARTS * PART_BYTES);
    response.emit("close");
    t.is(budget.usedBytes, 0);
});

// Guards against a budget that grows with each caller that leaves before a response is taken out.
test("releases nothing again when a response is taken out after that of the caller has closed", t => {
    const budget = MemoryBudget.create(1_000_000);
    const response = new EventEmitter();
    const body = BufferedBody.create(budget, response as ServerResponse);
    body.append(Buffer.alloc(PART_BYTES + 1));
    body.append(Buffer.alloc(PART_BYTES));
    response.emit("close");
    body.take();
    t.is(budget.usedBytes, 0);
});
