import test, { type ExecutionContext } from "ava";
import type { RequestListener } from "node:http";
import { TargetClient } from "../../../src/adapters/target/targetClient.js";
import { RequestError } from "../../../src/core/errors/requestError.js";
import type { CallerRequest } from "../../../src/core/request/callerRequest.js";
import { RequestExecutor } from "../../../src/daemon/execution/requestExecutor.js";
import { Metrics } from "../../../src/observability/metrics.js";
import { startTarget } from "../../helpers/startTarget.js";
import { TestBroker } from "../../helpers/testBroker.js";

interface ExecutionOutcome {
    readonly broker: TestBroker;
    /** Response body that the caller received. */
    readonly text: string;
    readonly isEnded: boolean;
    readonly settled: readonly string[];
    readonly error: RequestError | undefined;
    readonly metrics: string;
    /** Requests that reached each target. */
    readonly reached: readonly number[];
    readonly resumedFrom: readonly unknown[];
}

const request: CallerRequest = {
    requestId: "request-1",
    account: { name: "capel", share: "standard", keyDigests: [], services: ["model-desk"] },
    service: { name: "model-desk", kind: "model", requestCost: 100, queueLimit: 9, maxBodyBytes: 999 },
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: Buffer.from("{}"),
    isStream: true,
    idempotencyKey: undefined,
    receivedAt: 0,
    deadline: 1_000_000,
    hintedCost: undefined,
};
const payment: CallerRequest = {
    ...request,
    service: { ...request.service, name: "order-book", kind: "plain", nonRepeatableMethods: ["POST"] },
    isStream: false,
};

async function runRequest(
    t: ExecutionContext,
    callerRequest: CallerRequest,
    listeners: readonly RequestListener[],
    startDeadline = Number.POSITIVE_INFINITY,
    signal = new AbortController().signal,
): Promise<ExecutionOutcome> {
    const startedTargets = await Promise.all(
        listeners.map((listener, i) => startTarget(`target-${i}`, listener)),
    );
    const broker = TestBroker.create(startedTargets.map(started => started.target));
    broker.startDeadline = startDeadline;
    const targets = TargetClient.create({ getNow: () => 0 });
    t.teardown(async () => {
        await targets.close();
        startedTargets.forEach(started => started.close());
    });
    const metrics = Metrics.create();
    const settled: string[] = [];
    const chunks: Uint8Array[] = [];
    let isEnded = false;
    const executor = RequestExecutor.create({
        context: {
            getNow: () => 0,
            getView: () => ({
                configurationRevision: -1,
                configurationDigest: "",
                index: undefined,
                instances: { revision: -1, instances: [] },
                instancesAdoptedAt: 0,
                suspected: new Set(),
                leaving: new Set(),
            }),
            identity: { instance: "a", dataCentre: "caerdydd-a", incarnation: "a", startedAtMs: 0 },
            metrics,
            recordDecision: () => {},
        },
        broker,
        targets,
        claims: {
            claim: () => Promise.resolve({ key: "key-1", settle: result => settled.push(result) }),
        },
        getRandom: () => 0,
        wait: () => Promise.resolve(),
    });
    const error = await executor.execute(callerRequest, {
        writeHead: () => {},
        write: chunk => chunks.push(chunk) > 0,
        onDrain: listener => listener(),
        end: () => {
            isEnded = true;
        },
    }, signal).then(() => undefined, (reason: unknown) => reason);
    if (error !== undefined && !(error instanceof RequestError)) {
        throw error as Error;
    }
    return {
        broker,
        text: Buffer.concat(chunks).toString("utf8"),
        isEnded,
        settled,
        error,
        metrics: await metrics.render(),
        reached: startedTargets.map(started => started.requests.length),
        resumedFrom: startedTargets.map(started => started.requests[0]?.headers["x-resume-from"]),
    };
}

function formatToken(index: number, isLast = false): string {
    const usage = isLast ? { usage: { prompt_tokens: 5, completion_tokens: index + 1 } } : {};
    return `data: ${JSON.stringify({ index, token: `t${index} `, ...usage })}\n\n`;
}

const refuse: RequestListener = (_, response) => response.writeHead(503, { "x-not-run": "true" }).end();
const reset: RequestListener = incoming => incoming.socket.resetAndDestroy();
const respond: RequestListener = (_, response) => response.end('{"done":true}');
const truncate: RequestListener = (_, response) => {
    response.writeHead(200, { "content-length": "99" }).write("{", () => response.destroy());
};
const breakStream: RequestListener = (_, response) => {
    response.setHeader("content-type", "text/event-stream");
    response.write(`${formatToken(0)}${formatToken(1)}data: {"index":2,"to`, () => response.destroy());
};

test("resumes a broken stream on another target at the next token", async t => {
    const run = await runRequest(t, request, [breakStream, (_, response) => {
        response.setHeader("content-type", "text/event-stream");
        response.end(`${formatToken(2)}${formatToken(3, true)}data: [DONE]\n\n`);
    }]);
    t.is(run.text, [0, 1, 2].map(i => formatToken(i)).join("") + `${formatToken(3, true)}data: [DONE]\n\n`);
    t.deepEqual(run.resumedFrom, [undefined, "2"]);
    t.true(run.isEnded);
    t.is(run.broker.chargedTokens, 4);
    t.deepEqual(run.broker.results.map(({ cost, ending }) => [cost, ending]), [[2, "failed"], [
        7,
        "completed",
    ]]);
    t.deepEqual(run.broker.tickets[1]?.excludedTargets, ["target-0"]);
    t.regex(run.metrics, /retries_total\{reason="resume-truncated"\} 1/);
});

test("does not end the response to a stream that no target completes", async t => {
    const run = await runRequest(t, request, [breakStream, reset]);
    t.is(run.text, formatToken(0) + formatToken(1));
    t.false(run.isEnded);
    t.like(run.error, { code: "no-target", outcome: "unknown" });
});

test("replaces a truncated plain response to a repeatable request by a complete one", async t => {
    const run = await runRequest(t, { ...payment, method: "GET" }, [truncate, respond]);
    t.is(run.text, '{"done":true}');
    t.deepEqual(run.broker.results.map(result => result.cost), [100, 100]);
});

test("does not retry a non-repeatable request whose outcome is unknown, and keeps its claim", async t => {
    for (const listener of [reset, truncate]) {
        const run = await runRequest(t, payment, [listener, respond]);
        t.is(run.error?.outcome, "unknown");
        t.deepEqual(run.reached, [1, 0]);
        t.deepEqual(run.settled, []);
        t.is(run.text, "");
    }
});

test("retries a non-repeatable request that a target refused on another target", async t => {
    const run = await runRequest(t, payment, [refuse, respond, respond]);
    t.deepEqual(run.reached, [1, 1, 0]);
    t.deepEqual(run.settled, ["run"]);
    t.deepEqual(run.broker.results.map(result => result.ending), ["refused", "completed"]);
});

test("reports not-run and releases the claim only if no attempt had an unknown outcome", async t => {
    const refused = await runRequest(t, payment, [refuse, refuse]);
    t.like(refused.error, { code: "no-target", outcome: "not-run" });
    t.deepEqual(refused.settled, ["released"]);
    const open = await runRequest(t, request, [reset, refuse]);
    t.is(open.error?.outcome, "unknown");
});

test("returns a grant unused if its start deadline has passed", async t => {
    const run = await runRequest(t, payment, [respond], 0);
    t.deepEqual(run.reached, [0]);
    t.deepEqual(run.broker.results[0], { cost: 0, ending: "not-written", targetState: undefined });
    t.is(run.error?.outcome, "not-run");
    t.deepEqual(run.broker.tickets[1]?.excludedTargets, []);
});

test("fails a request after six failed attempts", async t => {
    const run = await runRequest(t, request, Array.from({ length: 8 }, () => refuse));
    t.like(run.error, { code: "target-unavailable", outcome: "not-run" });
    t.is(run.broker.tickets.length, 6);
});

test("takes no slot and releases the key if the caller disconnected during the claim", async t => {
    const run = await runRequest(t, payment, [respond], undefined, AbortSignal.abort());
    t.is(run.error?.code, "caller-disconnected");
    t.is(run.broker.tickets.length, 0);
    t.deepEqual(run.settled, ["released"]);
});
