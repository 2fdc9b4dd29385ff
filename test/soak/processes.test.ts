import test from "ava";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";
import { takePort } from "../../src/soak/takePort.js";
import { describeUnexpectedEnd } from "../../src/testing/platform/describeUnexpectedEnd.js";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { getLoopbackHost } from "../../src/testing/platform/getLoopbackHost.js";
import { isListening } from "../../src/testing/platform/isListening.js";

const HOST_INDEX = 90;

// Guards against ends of processes that the soak takes for ends that it asked for.
test("an end is unexpected unless SIGKILL or a signal to stop was sent, and a stop must end with code 0", t => {
    const describe = (
        signals: readonly NodeJS.Signals[],
        code: number | null,
        signal?: NodeJS.Signals,
    ): boolean => describeUnexpectedEnd(signals, { code, signal: signal ?? null }) !== undefined;
    t.false(describe(["SIGKILL"], null, "SIGKILL"));
    t.false(describe(["SIGHUP", "SIGTERM"], 0));
    t.true(describe(["SIGTERM"], null, "SIGTERM"));
    t.true(describe(["SIGINT"], 1));
    t.true(describe(["SIGALRM"], null, "SIGALRM"));
    t.true(describe(["SIGHUP"], 0));
    t.true(describe([], 0));
    t.true(describe([], 2));
});

// Guards against runs whose taken ports are free.
test.serial("a taken port is in use until it is freed, for listeners and for datagrams", async t => {
    const host = getLoopbackHost(HOST_INDEX);
    const [port = 0] = await findPorts(1);
    for (const [holder, protocol] of [["listener", "tcp"], ["datagrams", "udp"]] as const) {
        t.false(await isListening(protocol, host, port));
        const free = await takePort(holder, host, port);
        t.true(await isListening(protocol, host, port));
        const error = await new Promise<NodeJS.ErrnoException>(resolve => {
            const socket = protocol === "tcp"
                ? createServer().listen(port, host)
                : createSocket("udp4").bind(port, host);
            socket.on("error", resolve);
        });
        t.is(error.code, "EADDRINUSE");
        await free();
        t.false(await isListening(protocol, host, port));
    }
});

test.serial("an outgoing connection can be bound to a port of an instance", async t => {
    const host = getLoopbackHost(HOST_INDEX);
    const [port = 0] = await findPorts(1);
    const free = await takePort("connection", host, port);
    const other = createServer();
    t.false(await isListening("tcp", host, port));
    await free();
    other.listen(port, host);
    await once(other, "listening");
    other.close();
    t.pass();
});
