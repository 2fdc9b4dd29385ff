import test, { type ExecutionContext } from "ava";
import { createServer, type ServerResponse } from "node:http";
import { CallerListeners } from "../../src/shared/callerListeners.js";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { sendOnNewConnection } from "../../src/testing/sendOnNewConnection.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createPortBinder } from "../helpers/createPortBinder.js";
import { openIdle } from "../testing/openIdle.js";

const HOST = "127.0.0.1";
const ANSWER_MS = 200;
const STOP_MS = 3000;
const MAX_RELAYED = 10;

/** Starts listeners whose callers' connections are all relayed to their own port for relayed ones. */
async function createListeners(t: ExecutionContext, onRequest: (response: ServerResponse) => void): Promise<{
    readonly listeners: CallerListeners;
    readonly address: string;
    readonly relayPort: number;
    readonly countFound: () => number;
}> {
    const [callers = 0, relay = 0] = await findPorts(2);
    let found = 0;
    const listeners = CallerListeners.create({
        connections: {
            maxRelayed: MAX_RELAYED,
            mayRefuse: () => true,
            tryRelay: () => () => undefined,
            findPeer: () => {
                found += 1;
                return { host: HOST, port: relay };
            },
        },
        createServer: () =>
            createServer((incoming, response) => {
                t.true(listeners.isFromPeer(incoming.socket));
                onRequest(response);
            }),
    });
    t.teardown(() => listeners.close());
    await listeners.open({
        ports: createPortBinder(),
        log: { write: () => undefined },
        callerAddress: { host: HOST, port: callers },
        relayAddress: { host: HOST, port: relay },
    });
    return { listeners, address: `${HOST}:${callers}`, relayPort: relay, countFound: () => found };
}

const request = { path: "/x", headers: { Host: "h" }, bodyBytes: 10 };

test("a connection that a peer relays is served and relayed no further", async t => {
    const { address, countFound } = await createListeners(t, response => response.end("ok"));
    t.is((await sendOnNewConnection(address, request)).status, 200);
    t.is(countFound(), 1);
});

test("a stop waits for the response to a connection that is relayed to a peer", async t => {
    let onRead: () => void = () => undefined;
    const isRead = new Promise<void>(resolve => onRead = resolve);
    const { listeners, address } = await createListeners(t, response => {
        onRead();
        setTimeout(() => response.end("ok"), ANSWER_MS);
    });
    const answer = sendOnNewConnection(address, request);
    await isRead;
    const until = performance.now() + STOP_MS;
    await listeners.end({ answerBy: until, closeBy: until });
    t.is((await answer).status, 200);
});

// Idle connections at the port of peers took the descriptors of callers (idleConnections, once in a CI).
test("idle connections at the port for relayed ones are closed beyond their number, and others are served", async t => {
    const { address, relayPort } = await createListeners(t, response => response.end("ok"));
    const idle = await openIdle(t, { host: HOST, port: relayPort }, 3 * MAX_RELAYED);
    await waitUntil(
        "the surplus is closed",
        () => idle.filter(({ destroyed }) => destroyed).length >= 2 * MAX_RELAYED,
    );
    t.is((await sendOnNewConnection(address, request)).status, 200);
});
