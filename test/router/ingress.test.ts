import test from "ava";
import { once } from "node:events";
import { Agent, get, type IncomingMessage } from "node:http";
import { type AddressInfo, createServer } from "node:net";
import { platformWireFormat } from "../../src/platform/platformWireFormat.js";
import { ErrorBoundary } from "../../src/router/errorBoundary.js";
import { Ingress } from "../../src/router/ingress.js";
import { LogSink } from "../../src/router/logSink.js";
import { createPortBinder } from "../helpers/createPortBinder.js";
import { makeRequestMemory } from "../testing/router/makeRequestMemory.js";

async function findPort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}

test("keeps idle connections open for longer than callers may reuse them, so that no request races with the close", async t => {
    const port = await findPort();
    const limits = {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1024,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 40_000,
        tokensPerSecond: 0,
    };
    const log = LogSink.create({});
    const getNow = (): number => performance.now();
    const ingress = await Ingress.create({
        errorBoundary: ErrorBoundary.create({
            log,
            getNow,
            onError: () => t.fail(),
            onFatal: () => t.fail(),
        }),
        callerAddress: { host: "127.0.0.1", port },
        relayAddress: undefined,
        findPeer: () => undefined,
        ports: createPortBinder(),
        wire: platformWireFormat,
        log,
        memory: makeRequestMemory(1_000_000),
        connectionLimits: { served: 1000, surplus: 100, descriptors: 2000 },
        countTargetConnections: () => 0,
        getNow,
        resolve: () => ({ kind: "refused", status: 404, reason: "no-route", retryAfterMs: undefined }),
        findAccount: () => "",
        getLimits: () => limits,
        getMaxBodyIdleMs: () => 15_000,
        isStopping: () => false,
        serve: () => t.fail("served"),
        onRefused: () => undefined,
    });
    ingress.applyLimits(limits);
    const agent = new Agent({ keepAlive: true });
    const [response] = await once(get({ port, host: "127.0.0.1", agent }), "response") as [IncomingMessage];
    response.resume();
    const [, seconds] = /timeout=(\d+)/.exec(String(response.headers["keep-alive"])) ?? [];
    t.true(Number(seconds) * 1000 > limits.idleTimeoutMs, String(seconds));
    agent.destroy();
    ingress.close();
});
