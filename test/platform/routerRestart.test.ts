import test, { registerCompletionHandler } from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRouterFleet } from "../testing/router/createRouterFleet.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

test.serial("planned stop under load: answers requests that were accepted in the last moments, also one that is still being read", async t => {
    const fleet = await createRouterFleet(t);
    const [instance] = fleet.instances;
    if (!instance) {
        t.fail("no instance");
        return;
    }
    const { hostname, port } = new URL(fleet.getUrls(instance).callers);
    const open = async (): Promise<{ write: (text: string) => void; readAll: () => Promise<string>; }> => {
        const socket = connect(Number(port), hostname);
        await once(socket, "connect");
        let received = "";
        socket.on("data", data => received += data.toString());
        const closed = once(socket, "close");
        return {
            write: text => socket.write(text),
            readAll: async () => {
                await closed;
                return received;
            },
        };
    };
    const buildHead = (id: string, length: number): string =>
        `POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: ${id}\r\nDeadline-Ms: 4000\r\nContent-Length: ${length}\r\n\r\n`;
    const slow = await open();
    const pipelined = await open();
    const stopped = instance.process.stop("SIGTERM");
    const load: Promise<unknown>[] = [];
    let answers = 0;
    for (let i = 0; i < 24; i += 1) {
        load.push(sendToFleet(fleet, "/safe/x").then(result => answers += result.isWhole ? 1 : 0));
        await new Promise(resolve => setTimeout(resolve, 100));
    }
    slow.write(`${buildHead("slow-1", 10)}12345`);
    pipelined.write(`${buildHead("pipelined-1", 1)}x${buildHead("pipelined-2", 1)}x`);
    // The stop timeout is 4 s, and the instance lingers for 3 s of it. The timeout of the route is 1 s.
    await new Promise(resolve => setTimeout(resolve, 700));
    slow.write("67890");
    t.regex(await slow.readAll(), /^HTTP\/1\.1 200 .*answer to slow-1$/s);
    t.regex(await pipelined.readAll(), /^HTTP\/1\.1 200 .*answer to pipelined-1/s);
    await Promise.all(load);
    t.is(answers, load.length);
    t.is(await stopped, 0);
});

test.serial("restart of a process: uses no target that has left and no key that was withdrawn, while its peers still run", async t => {
    const fleet = await createRouterFleet(t, { instances: 7 });
    const [instance] = fleet.instances;
    const [, left] = fleet.targets;
    if (!instance || !left) {
        t.fail("too few instances or targets");
        return;
    }
    fleet.setRegistration(left, "removed");
    fleet.publish(false);
    await waitUntil(
        "the withdrawn key is refused",
        async () => (await sendToFleet(fleet, "/stream/x")).status === 401,
    );
    instance.process.kill("SIGKILL");
    await fleet.startInstance(instance);
    const before = left.target.arrivals.length;
    const isReady = async (): Promise<boolean> => {
        // Nobody listens at the first attempts.
        const result = await sendToFleet(fleet, "/stream/x").catch(() => undefined);
        t.true(
            result === undefined || result.status === 401 || result.status === 503,
            String(result?.status),
        );
        return result?.status === 401;
    };
    await waitUntil("the restarted instance knows the configuration", isReady);
    for (let i = 0; i < 20; i += 1) {
        t.is((await sendToFleet(fleet, "/stream/x")).status, 401);
        t.is((await sendToFleet(fleet, "/safe/x")).status, 200);
    }
    t.is(left.target.arrivals.length, before);
});
