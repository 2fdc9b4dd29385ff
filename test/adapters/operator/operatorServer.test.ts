import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { request } from "undici";
import { OperatorServer } from "../../../src/adapters/operator/operatorServer.js";
import { buildStatusReport } from "../../../src/core/explain/buildStatusReport.js";
import { RoutePage } from "../../../src/shared/explain/routePage.js";
import { createPortBinder } from "../../helpers/createPortBinder.js";

const decision = { timeMs: 1, kind: "refused", reason: "queue-full", requestId: "r 1", account: "capel" };

const EXPLANATION = {
    instance: "daemon-0",
    dataCentre: "caerdydd-a",
    notReady: [],
    route: undefined,
    account: undefined,
    refusal: undefined,
    services: [],
};

async function startServer(leaving: boolean): Promise<OperatorServer> {
    return OperatorServer.create({
        address: "127.0.0.1:0",
        maxConnections: 10,
        ports: createPortBinder(),
        instance: "daemon-0",
        renderMetrics: () => Promise.reject(new Error("broken page")),
        getStatus: () =>
            buildStatusReport({
                instance: "daemon-0",
                dataCentre: "caerdydd-a",
                incarnation: "1",
                startedAtMs: 0,
                leaving,
                watchesPlatform: true,
                lastRejection: undefined,
                view: {
                    configurationRevision: -1,
                    configurationDigest: "",
                    index: undefined,
                    instances: { revision: 1, instances: [] },
                    instancesAdoptedAt: 0,
                    suspected: new Set(),
                    leaving: new Set(),
                },
                sections: { targets: ["engine-0"] },
            }),
        explainRequest: requestId => requestId === decision.requestId ? [decision] : [],
        explainAccount: (account, limit) => account === decision.account && limit > 0 ? [decision] : [],
        routePage: RoutePage.create({
            explain: () => EXPLANATION,
            onAnswered: () => undefined,
            onError: () => undefined,
        }),
        onError: () => undefined,
    });
}

async function fetchPage(server: OperatorServer, path: string): Promise<readonly [number, unknown]> {
    const response = await request(`http://${server.address}${path}`);
    return [response.statusCode, await response.body.json()];
}

test("reports a daemon that has no configuration or is leaving as not ready", async t => {
    const server = await startServer(true);
    t.teardown(() => void server.close());
    t.deepEqual(await fetchPage(server, "/readyz"), [503, { notReady: ["no-configuration", "leaving"] }]);
    t.is((await fetchPage(server, "/healthz"))[0], 200);
});

test("finds decisions by request and by account and decodes names in the URL", async t => {
    const server = await startServer(false);
    t.teardown(() => void server.close());
    const expected = [200, { instance: "daemon-0", decisions: [decision] }];
    t.deepEqual(await fetchPage(server, "/v1/explain/requests/r%201"), expected);
    t.deepEqual(await fetchPage(server, "/v1/explain/accounts/capel"), expected);
});

// Guards against the page being refused as the others are that only read.
test("explains a route that is posted", async t => {
    const server = await startServer(false);
    t.teardown(() => void server.close());
    const { body } = await request(`http://${server.address}/explain/route`, {
        method: "POST",
        body: JSON.stringify({ host: "h", path: "/" }),
    });
    t.is((await body.json() as { instance: string; }).instance, "daemon-0");
});

test("responds to a malformed path or a failing page with a problem document", async t => {
    const server = await startServer(false);
    t.teardown(() => void server.close());
    t.is((await fetchPage(server, "/v1/explain/accounts/%E0%A4%A"))[0], 404);
    t.is((await fetchPage(server, "/metrics"))[0], 500);
});

// The connection was closed without a status, also for the requests before it.
test("refuses CONNECT with 501 after the answers that are due", async t => {
    const server = await startServer(false);
    t.teardown(() => void server.close());
    const [host, port] = server.address.split(":");
    const socket = connect({ host, port: Number(port) });
    let received = "";
    socket.on("data", data => received += data.toString());
    socket.write(
        "GET /healthz HTTP/1.1\r\nhost: h\r\n\r\nCONNECT other:443 HTTP/1.1\r\nhost: other:443\r\n\r\n",
    );
    await once(socket, "close");
    t.deepEqual(received.match(/(?<=HTTP\/1\.1 )\d+/g), ["200", "501"]);
});
