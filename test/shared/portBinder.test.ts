import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import type { PortError } from "../../src/core/errors/portError.js";
import { createPortBinder } from "../helpers/createPortBinder.js";

const HOST = "127.0.0.1";
/** TEST-NET-1 (RFC 5737) is never an address of the test host. */
const UNCONFIGURED_HOST = "192.0.2.1";

function createLog(): {
    readonly lines: string[];
    readonly writeLog: (event: string, fields: object) => void;
} {
    const lines: string[] = [];
    return { lines, writeLog: (event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`) };
}

test("waits for an address that is not configured until the deadline, and names server, address and cause", async t => {
    const { lines, writeLog } = createLog();
    const server = createServer();
    const ports = createPortBinder({ deadline: performance.now() + 200, writeLog });
    const error = await t.throwsAsync<PortError>(
        ports.openServer("operators", server, { host: UNCONFIGURED_HOST, port: 9100 }),
        { name: "PortError", code: "port-unavailable", message: /EADDRNOTAVAIL/u },
    );
    t.deepEqual([error.server, error.address], ["operators", `${UNCONFIGURED_HOST}:9100`]);
    t.is(lines.length, 1);
    t.regex(lines[0] ?? "", /^port-awaited .*operators.*EADDRNOTAVAIL/u);
});

test("fails at once if the port cannot exist", async t => {
    const { lines, writeLog } = createLog();
    const ports = createPortBinder({ deadline: Number.POSITIVE_INFINITY, writeLog });
    await t.throwsAsync(ports.openServer("callers", createServer(), { host: HOST, port: 65_536 }), {
        name: "PortError",
    });
    t.deepEqual(lines, []);
});

// A later error of a server without a handler ended the process, and the first one was swallowed.
test("logs the later errors of a server", async t => {
    const { lines, writeLog } = createLog();
    const server = createServer();
    t.teardown(() => server.close());
    await createPortBinder({ writeLog }).openServer("callers", server, { host: HOST, port: 0 });
    server.emit("error", new Error("accept EMFILE"));
    server.emit("error", new Error("accept ENFILE"));
    t.deepEqual(lines.map(line => /accept \w+/u.exec(line)?.[0]), ["accept EMFILE", "accept ENFILE"]);
    t.true(lines.every(line => line.startsWith("server-failed ")));
});

test("ends the wait for a required and for an optional port when it is told to stop", async t => {
    const holder = createServer().listen(0, HOST);
    t.teardown(() => holder.close());
    await once(holder, "listening");
    const { port } = holder.address() as AddressInfo;
    const stop = new AbortController();
    const closed = new AbortController();
    const ports = createPortBinder({ deadline: Number.POSITIVE_INFINITY, stopSignal: stop.signal });
    const required = ports.openServer("callers", createServer(), { host: HOST, port });
    const optional = ports.openOptionalServer("metrics", createServer(), { host: HOST, port }, closed.signal);
    setTimeout(() => {
        stop.abort();
        closed.abort();
    }, 100);
    await t.throwsAsync(required, { name: "StartStoppedError", code: "start-stopped" });
    await t.notThrowsAsync(optional);
});

test("closes what it has opened after a start that failed", async t => {
    const ports = createPortBinder();
    const [first, second] = [createServer(), createServer()];
    await ports.openServer("peers", first, { host: HOST, port: 0 });
    const { port } = first.address() as AddressInfo;
    await t.throwsAsync(ports.openServer("callers", second, { host: HOST, port }), { name: "PortError" });
    ports.close();
    await t.notThrowsAsync(createPortBinder().openServer("peers", second, { host: HOST, port }));
    second.close();
});
