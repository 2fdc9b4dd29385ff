import test, { registerCompletionHandler } from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { CallerCrowd } from "../testing/memory/callerCrowd.js";
import { createLimitedRouter } from "../testing/memory/createLimitedRouter.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const LIMIT_MB = 200;
const PATIENCE_MS = 4000;
const SENT_BYTES = 100;
const REQUESTS = 10;
const CROWDS = [{ callers: 60, bodyBytes: 4_000_000 }, { callers: 1500, bodyBytes: 60_000 }];

for (const { callers, bodyBytes } of CROWDS) {
    // The whole length of a body was allocated at its first byte, so that a few callers that sent no more made the memory count
    // as scarce, and all requests were refused until their deadlines.
    test.serial(`${callers} callers that declare ${bodyBytes} bytes and send ${SENT_BYTES} keep no other request out`, async t => {
        const events: string[] = [];
        const fleet = await createLimitedRouter(t, LIMIT_MB, {
            onLogLine: (_host, line) => events.push(line),
        });
        const crowd = await CallerCrowd.create(fleet, callers);
        const path = "/unsafe/x";
        await crowd.send({ path, bodyBytes, sentBytes: SENT_BYTES, patienceMs: PATIENCE_MS });
        const statuses: number[] = [];
        for (let i = 0; i < REQUESTS; i += 1) {
            statuses.push((await sendToFleet(fleet, "/known/x")).status);
            await new Promise(resolve => setTimeout(resolve, PATIENCE_MS / REQUESTS));
        }
        t.deepEqual(statuses, statuses.map(() => 200));
        await waitUntil("all callers have an answer", () => crowd.waiting === 0);
        t.deepEqual(crowd.countStatuses(), { 408: callers });
        t.deepEqual(events.filter(line => line.includes('"memory-changed"')), []);
        crowd.close();
    });
}
