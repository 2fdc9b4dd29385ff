import test from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { ForwardAttempt } from "../../src/router/forwardAttempt.js";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { makeAttemptOptions } from "../testing/router/makeAttemptOptions.js";
import { createScheduler } from "../testing/scheduler/createScheduler.js";
import { enqueueRequest } from "../testing/scheduler/enqueueRequest.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

// The attempts shared nothing, so that each found out alone that its target was unresponsive.
test("attempts at a target that takes requests and answers nothing know of each other until it answers one", async t => {
    const responses: ServerResponse[] = [];
    const server = createServer((request, response) => {
        response.setHeader("Request-Id", String(request.headers["request-id"]));
        responses.push(response);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = TargetAgent.create(5000);
    t.teardown(() => {
        agent.destroy();
        server.close();
        server.closeAllConnections();
    });
    const { scheduler } = createScheduler();
    const { port } = server.address() as AddressInfo;
    scheduler.setTargets([makeTargetDescriptor("t", { address: `127.0.0.1:${port}` })], new Set(), 0);
    let now = 0;
    let begun = 0;
    const send = (requestId: string): ForwardAttempt => {
        const request = makeRoutedRequest({
            requestId,
            route: { ...makeRoutedRequest().route, objectiveMs: 3000 },
        });
        const { grant } = enqueueRequest(scheduler, request, now);
        if (!grant) {
            throw new Error("The request was granted no target.");
        }
        const attempt = ForwardAttempt.create(makeAttemptOptions(request, {
            grant,
            agent,
            getRunningTime: () => now,
            watchesTarget: true,
            onFirstEvent: () => {
                begun += 1;
                scheduler.start(grant, now);
            },
            onFail: (_, reason) => t.fail(reason),
        }));
        t.teardown(() => attempt.abort());
        attempt.send();
        return attempt;
    };
    const first = send("1");
    await waitUntil("the target has the first request", () => responses.length === 1);
    now = 1300;
    const second = send("2");
    await waitUntil("the target has both requests", () => responses.length === 2);
    now = 1450;
    t.is(first.findInactivity(), "unresponsive");
    t.is(second.findInactivity(), "unresponsive");
    now = 2700;
    responses[0]?.write("id: 1\ndata: {}\n\n");
    await waitUntil("the first response has begun", () => begun === 1);
    t.is(second.findInactivity(), undefined);
});
