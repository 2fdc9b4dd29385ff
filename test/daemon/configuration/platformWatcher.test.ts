import test from "ava";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PlatformClient } from "../../../src/adapters/platform/platformClient.js";
import { PlatformWatcher } from "../../../src/daemon/configuration/platformWatcher.js";

test("reports and retries failures, and requests only values newer than a rejected one", async t => {
    const replies: readonly (readonly [number, string])[] = [[500, ""], [200, "{"], [200, "{}"], [
        200,
        '{"r":5}',
    ]];
    const requestedRevisions: (string | null)[] = [];
    const abort = new AbortController();
    const server = createServer((incoming, response) => {
        const [status, body] = replies[requestedRevisions.length] ?? [304, ""];
        requestedRevisions.push(new URL(incoming.url ?? "", "http://platform").searchParams.get("after"));
        response.writeHead(status).end(status === 304 ? undefined : body);
        if (requestedRevisions.length > replies.length) {
            abort.abort();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const failures: unknown[] = [];
    let calls = 0;
    await PlatformWatcher.create({
        platform: PlatformClient.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`),
        name: "configuration",
        watchMs: 1000,
        isNeeded: () => true,
        getRevision: () => 3,
        onValue: value => (value as { readonly r?: number; }).r,
        onCall: () => {
            calls += 1;
        },
        onFailure: error => failures.push(error),
        getRandom: () => 0,
        signal: abort.signal,
    }).run();
    t.deepEqual(requestedRevisions, ["3", "3", "3", "3", "5"]);
    t.is(calls, 5);
    t.deepEqual(failures.map(error => (error as { readonly code?: string; }).code), [
        "platform-call-failed",
        "platform-call-failed",
        "platform-call-failed",
    ]);
});

// A platform that reverted to an older revision responds at once; without a pause that is a call every 50 ms.
test("waits half a second before the next watch after an older value", async t => {
    const requestTimes: number[] = [];
    const abort = new AbortController();
    const server = createServer((_, response) => {
        requestTimes.push(performance.now());
        response.end('{"r":2}');
        if (requestTimes.length === 3) {
            abort.abort();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    await PlatformWatcher.create({
        platform: PlatformClient.create(`http://127.0.0.1:${(server.address() as AddressInfo).port}`),
        name: "configuration",
        watchMs: 1000,
        isNeeded: () => true,
        getRevision: () => 3,
        onValue: value => (value as { readonly r?: number; }).r,
        onCall: () => undefined,
        onFailure: error => t.fail(String(error)),
        getRandom: () => 0,
        signal: abort.signal,
    }).run();
    const intervals = requestTimes.slice(1).map((at, index) => at - (requestTimes[index] ?? 0));
    // Timers may fire up to a millisecond early; the interval has no upper bound here.
    t.true(intervals.every(interval => interval >= 495), intervals.join(", "));
});
