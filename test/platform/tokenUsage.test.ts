import test from "ava";
import type { IncomingMessage } from "node:http";
import { platformWireFormat } from "../../src/platform/platformWireFormat.js";
import { createScheduler } from "../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

/** Peers take a report with a larger amount, or a negative one, for damaged. */
const MAX_REPORTED = 1e12;

// One request would make all reports of its instance invalid, so that its peers take the instance for gone.
test("a caller that names 1e300 tokens: load and usage stay amounts that peers accept", t => {
    const headers = { "host": "h", "token-usage": "1e300,1e300", "prompt-prefix": "shared:1e300,own:1e300" };
    const incoming = { headers, rawHeaders: [] } as unknown as IncomingMessage;
    const { promptTokens, outputTokens, prompt } = platformWireFormat.readRequestHead(incoming);
    const { scheduler, usage } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("t")], new Set(), 0);
    const before = enqueueRequest(scheduler, makeRoutedRequest(), 0).grant;
    const hostile =
        enqueueRequest(scheduler, makeRoutedRequest({ promptTokens, outputTokens, prompt }), 1).grant;
    if (!before || !hostile) {
        t.fail("no grant");
        return;
    }
    t.true(before.target.pendingTokens <= MAX_REPORTED);
    for (const [, requested, granted] of usage.listLocal(2)) {
        t.true(Math.max(requested, granted) <= MAX_REPORTED);
    }
    scheduler.release(hostile, false, 3);
    scheduler.release(before, false, 4);
    t.is(before.target.pendingTokens, 0);
});
