import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ForwardAttempt } from "../../src/router/forwardAttempt.js";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { makeAttemptOptions } from "../testing/router/makeAttemptOptions.js";
import { createScheduler } from "../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

const CHUNK = Buffer.alloc(65_536, "x");
/** Larger than any event may be, and less than what would be read without a limit until the test times out. */
const MAX_TAKEN_BYTES = 64_000_000;

/** Sends a stream to a target that responds with a function; returns `complete` or the reason of the failure. */
async function sendAttempt(
    t: ExecutionContext,
    respond: (response: ServerResponse) => void,
): Promise<string> {
    t.timeout(20_000, "the stream is still being read");
    const server = createServer((request, response) => {
        response.setHeader("Request-Id", String(request.headers["request-id"]));
        respond(response);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = TargetAgent.create(5000);
    t.teardown(() => {
        agent.destroy();
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const { scheduler } = createScheduler();
    scheduler.setTargets([makeTargetDescriptor("t", { address: `127.0.0.1:${port}` })], new Set(), 0);
    const request = makeRoutedRequest();
    const { grant } = enqueueRequest(scheduler, request, 0);
    if (!grant) {
        throw new Error("The request was granted no target.");
    }
    return new Promise<string>(resolve => {
        ForwardAttempt.create(makeAttemptOptions(request, {
            grant,
            agent,
            onComplete: () => resolve("complete"),
            onFail: (_, failure) => resolve(failure),
        })).send();
    });
}

test("bytes without end: gives up a stream that never completes an event", async t => {
    let takenBytes = 0;
    const reason = await sendAttempt(t, response => {
        const write = (): void => {
            takenBytes += CHUNK.length;
            if (takenBytes < MAX_TAKEN_BYTES) {
                response.write(CHUNK);
            }
        };
        response.on("drain", write);
        write();
    });
    t.is(reason, "event-too-long");
    t.true(takenBytes < MAX_TAKEN_BYTES);
});

// Without a length or chunks, only the end of the connection ends a stream, also when its target has crashed.
test("stream without a length: is complete if it ends with an event, and broken off if it ends inside one", async t => {
    const sendUnframed = (text: string): Promise<string> =>
        sendAttempt(t, response => {
            response.useChunkedEncodingByDefault = false;
            response.write(text);
            response.end();
            t.false(response.hasHeader("Content-Length"));
        });
    t.is(await sendUnframed("id: 1\ndata: x\n\n"), "complete");
    t.is(await sendUnframed("id: 1\ndata: x\n\nid: 2\nda"), "truncated");
});
