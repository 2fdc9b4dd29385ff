import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { SlidingRetryBudget } from "../../src/core/routing/slidingRetryBudget.js";
import { platformWireFormat } from "../../src/platform/platformWireFormat.js";
import { ErrorBoundary } from "../../src/router/errorBoundary.js";
import { LogSink } from "../../src/router/logSink.js";
import { RequestForwarder } from "../../src/router/requestForwarder.js";
import { TargetAgents } from "../../src/router/targetAgents.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { createCrashRecord } from "../testing/createCrashRecord.js";
import { createLimiter } from "../testing/createLimiter.js";
import { createTargetNotices } from "../testing/createTargetNotices.js";
import { createTargetStarts } from "../testing/createTargetStarts.js";
import { makeRequestMemory } from "../testing/router/makeRequestMemory.js";
import { createScheduler } from "../testing/scheduler/createScheduler.js";
import { makeRoutedRequest } from "../testing/scheduler/makeRoutedRequest.js";
import { makeTargetDescriptor } from "../testing/scheduler/makeTargetDescriptor.js";

type Scheduler = ReturnType<typeof createScheduler>["scheduler"];
type Notices = ReturnType<typeof createTargetNotices>;
type Options = Parameters<typeof RequestForwarder.create>[0];

async function openServer(
    t: ExecutionContext,
    serve: (incoming: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
    const server = createServer(serve).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface Outcome {
    readonly status: number;
    readonly isWhole: boolean;
    /** Requests that count as running at the target. */
    readonly inFlight: number;
    readonly outcomes: readonly string[];
}

/** Forwards one stream to a target; `inject` makes a method throw where no error is expected. */
async function forward(
    t: ExecutionContext,
    inject: (scheduler: Scheduler, notices: Notices) => void,
): Promise<Outcome> {
    const { scheduler } = createScheduler();
    const address = await openServer(t, (incoming, response) => {
        response.writeHead(200, { "Request-Id": incoming.headers["request-id"] });
        response.write("id: 1\ndata: x\n\n");
    });
    scheduler.setTargets([makeTargetDescriptor("t", { address })], new Set(), 0);
    const targetAgents = TargetAgents.create();
    t.teardown(() => targetAgents.close());
    const log = LogSink.create({});
    const outcomes: string[] = [];
    const notices = createTargetNotices();
    inject(scheduler, notices);
    const callers = await openServer(t, (incoming, response) => {
        RequestForwarder.create({
            exchange: {
                incoming,
                response,
                head: platformWireFormat.readRequestHead(incoming),
                request: makeRoutedRequest(),
                body: undefined,
            },
            scheduler,
            crashRecord: createCrashRecord(),
            crashDetector: {
                recordComplete: () => undefined,
                recordEnd: () => undefined,
                recordGone: () => undefined,
            } as unknown as Options["crashDetector"],
            limits: createLimiter(),
            notices,
            targetStarts: createTargetStarts(),
            streamOrigins: { recordBegun: () => undefined } as unknown as Options["streamOrigins"],
            retryBudget: SlidingRetryBudget.create({ ratio: 1, windowMs: 1000 }),
            targetAgents,
            memory: makeRequestMemory(1_000_000),
            wire: platformWireFormat,
            log,
            errorBoundary: ErrorBoundary.create({
                log,
                getNow: () => 0,
                onError: () => undefined,
                onFatal: () => t.fail(),
            }),
            getNow: () => 0,
            getRunningTime: () => 0,
            isBatching: () => false,
            onEnd: outcome => outcomes.push(outcome),
        }).start();
    });
    const { status, isWhole } = await sendCaller(`http://${callers}/`, {
        method: "GET",
        headers: { "Request-Id": "1" },
    });
    return { status, isWhole, inFlight: [...scheduler.targets.values()][0]?.inFlight ?? -1, outcomes };
}

function failUnexpectedly(): never {
    throw new Error("unexpected");
}

// An error closed the connection, or was caught by nothing, so that the request stayed open and its target in use.
test("unexpected error before a target has got the request: refuses it as not executed", async t => {
    const result = await forward(t, scheduler => {
        scheduler.enqueue = failUnexpectedly;
    });
    t.deepEqual(result, { status: 503, isWhole: true, inFlight: 0, outcomes: ["internal-error"] });
});

test("unexpected error in the decision on a request that waits: refuses it as not executed", async t => {
    const result = await forward(t, scheduler => {
        scheduler.enqueue = ({ onError }) => onError(new Error("unexpected"));
    });
    t.deepEqual(result, { status: 503, isWhole: true, inFlight: 0, outcomes: ["internal-error"] });
});

test("unexpected error while a target serves the request: answers it without a promise, and releases the target", async t => {
    const result = await forward(t, (_, notices) => {
        notices.observe = failUnexpectedly;
    });
    t.deepEqual(result, { status: 502, isWhole: true, inFlight: 0, outcomes: ["internal-error"] });
});

test("unexpected error in a stream that has begun: cuts it, and releases the target", async t => {
    const result = await forward(t, scheduler => {
        scheduler.start = failUnexpectedly;
    });
    t.like(result, { isWhole: false, inFlight: 0, outcomes: ["internal-error"] });
});
