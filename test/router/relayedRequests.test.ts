import test from "ava";
import { type IncomingMessage, request } from "node:http";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { createIngress } from "../testing/router/createIngress.js";

const HOST = "127.0.0.1";

/** Sends a request on a connection that is to be kept. */
function sendKept(port: number): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
        const sent = request({ host: HOST, port, headers: { Connection: "keep-alive" } }, response => {
            response.resume();
            resolve(response);
        });
        sent.on("error", reject);
        sent.end();
    });
}

// A kept connection would be relayed for as long as its caller sends requests, also when its instance has room again.
test("a connection that a peer relays closes with its first response, one of a caller does not", async t => {
    const [relayPort = 0] = await findPorts(1);
    const relayed: (boolean | undefined)[] = [];
    const { port } = await createIngress(t, ({ request: { isRelayed }, response }) => {
        relayed.push(isRelayed);
        response.end("ok");
    }, { relayAddress: { host: HOST, port: relayPort } });
    t.is((await sendKept(relayPort)).headers.connection, "close");
    t.is((await sendKept(port)).headers.connection, "keep-alive");
    t.deepEqual(relayed, [true, false]);
});
