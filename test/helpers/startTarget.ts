import { createServer, type IncomingMessage, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { Target } from "../../src/core/configuration/target.js";

interface TestTarget {
    readonly target: Target;
    /** Requests received so far. */
    readonly requests: readonly IncomingMessage[];
    readonly close: () => void;
}

/** Starts an HTTP target in this process on a free port. */
export async function startTarget(name: string, listener: RequestListener): Promise<TestTarget> {
    const requests: IncomingMessage[] = [];
    const server = createServer((request, response) => {
        requests.push(request);
        response.setHeader("x-request-id", String(request.headers["x-request-id"]));
        void listener(request, response);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        target: {
            name,
            service: "service",
            dataCentre: "caerdydd-a",
            url: `http://127.0.0.1:${port}`,
            slotLimit: 8,
            coldLimit: 1,
            checksFencing: false,
            inService: true,
        },
        requests,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
