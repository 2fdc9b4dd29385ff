import type { ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { platformWireFormat } from "../../../src/platform/platformWireFormat.js";
import { ErrorBoundary } from "../../../src/router/errorBoundary.js";
import { Ingress } from "../../../src/router/ingress.js";
import { LogSink } from "../../../src/router/logSink.js";
import { createPortBinder } from "../../helpers/createPortBinder.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";
import { makeRequestMemory } from "./makeRequestMemory.js";

type Options = Parameters<typeof Ingress.create>[0];

const PATIENCE_MS = 60_000;

/** Starts an ingress that accepts every request; `serve` gets those that have been read. */
export async function createIngress(
    t: ExecutionContext,
    serve: Options["serve"],
    options: Partial<Options> = {},
): Promise<{ readonly ingress: Ingress; readonly port: number; }> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const log = LogSink.create({});
    const getNow = (): number => performance.now();
    const ingress = await Ingress.create({
        errorBoundary: ErrorBoundary.create({
            log,
            getNow,
            onError: () => undefined,
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
        resolve: (_head, _path, receivedAt) => ({
            kind: "accepted",
            request: { ...makeRoutedRequest(), receivedAt, deadline: receivedAt + PATIENCE_MS },
        }),
        findAccount: () => "",
        getLimits: () => undefined,
        getMaxBodyIdleMs: () => 15_000,
        isStopping: () => false,
        serve,
        onRefused: () => undefined,
        ...options,
    });
    t.teardown(() => ingress.close());
    return { ingress, port };
}
