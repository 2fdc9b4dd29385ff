import test, { registerCompletionHandler } from "ava";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const BAD_GATEWAY = 502;
const REQUESTS = 2;
/** Far from the five seconds that the caller waits. */
const MAX_MS = 3000;

// A status outside of 100 to 599 is no answer (RFC 9110, section 15); callers got 600 and 999 as answers of the target (issue 57, MIXED).
for (const status of ["600", "999", "000", "0", "1000", "2OO"]) {
    test(`the status ${status} of a target is answered with 502 at once`, async t => {
        const { fleet } = await createRawFleet(t, "plain", [({ socket, requestId }) => {
            const head = `HTTP/1.1 ${status} X\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n`;
            socket.write(`${head}Content-Length: 2\r\n\r\nok`);
        }]);
        for (let i = 0; i < REQUESTS; i += 1) {
            const sentAt = performance.now();
            const response = await sendToFleet(fleet, "/safe/x");
            t.is(response.status, BAD_GATEWAY, `request ${i}`);
            t.true(performance.now() - sentAt < MAX_MS, `${performance.now() - sentAt} ms`);
        }
    });
}
