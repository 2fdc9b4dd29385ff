import test, { registerCompletionHandler } from "ava";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { connectAlone } from "../testing/platform/connectAlone.js";
import { RouterStarts } from "../testing/platform/routerStarts.js";
import { takePort } from "../testing/platform/takePort.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

const REQUIRED = ["callers", "readiness", "directory", "change-feed", "peer-reports"] as const;
const TAKEN_MS = 400;
const ENDED_MS = 15_000;
/** Beside many other test processes, one of them may get the port that was just freed. */
const MAX_ROUNDS = 20;
/** An instance without a word of a peer for this long after its start accepts keys. */
const ALONE_MS = 800;
/** The log has the time of day, whose clock may be adjusted. */
const CLOCK_SLACK_MS = 100;

type Started = ReturnType<RouterStarts["start"]>;

async function waitForPort({ child, getOutput, getErrors }: Started, server: string): Promise<void> {
    const isAwaited = (): boolean =>
        getOutput().includes(`"event":"port-awaited"`) && getOutput().includes(server);
    await waitUntil(
        `the process waits for the port "${server}"`,
        () => isAwaited() || child.exitCode !== null,
    );
    if (child.exitCode !== null) {
        throw new Error(`ended with code ${String(child.exitCode)}: ${getOutput()}${getErrors()}`);
    }
}

async function readStatus(address: string, path: string): Promise<string> {
    const { status, body } = await sendCaller(`http://${address}${path}`, { method: "GET", headers: {} });
    return `${status} ${body}`;
}

// A start needed each port to be free at one moment: the process ended, or stayed and never listened.
for (const server of REQUIRED) {
    test.serial(`a router waits for the port "${server}" while it is in use, and serves afterwards`, async t => {
        const starts = await RouterStarts.create(t);
        const { callerAddress, readinessAddress, directoryAddress } = starts.settings;
        const address = starts.getAddress(server);
        const free = await takePort(address.protocol, address);
        const router = starts.start();
        await waitForPort(router, server);
        await new Promise(resolve => setTimeout(resolve, TAKEN_MS));
        if (server === "callers") {
            t.is(await readStatus(readinessAddress, "/"), "503 ");
            t.is(await readStatus(directoryAddress, "/lookup?name=h&region=r&zone=a"), "503 ");
        }
        else {
            t.is(
                await readStatus(callerAddress, "/safe/x"),
                "0 ",
                "no caller is accepted before the start is sure",
            );
        }
        await free();
        await starts.waitUntilServing(router);
        await waitUntil("the log is written", () => router.getOutput().includes(`"event":"listening"`));
        const count = (event: string): number => router.getOutput().split(`"event":"${event}"`).length - 1;
        t.deepEqual([count("port-awaited"), count("port-bound")], [1, 1]);
    });
}

// The state was created before the socket was bound, so that its waits for the word of peers ended while none could be heard.
test.serial("a router that waited for the port of its peers listens to them before it accepts keys", async t => {
    const starts = await RouterStarts.create(t);
    const address = starts.getAddress("peer-reports");
    const free = await takePort("udp", address);
    const router = starts.start();
    await waitForPort(router, "peer-reports");
    await new Promise(resolve => setTimeout(resolve, 2 * ALONE_MS));
    await free();
    await starts.waitUntilServing(router);
    await waitUntil("the log is written", () => router.getOutput().includes("start-wait-ended"));
    const at = (event: string): number => {
        const line = router.getOutput().split("\n").find(text => text.includes(`"event":"${event}"`)) ?? "{}";
        return (JSON.parse(line) as { readonly at: number; }).at;
    };
    t.true(at("start-wait-ended") - at("port-bound") > ALONE_MS - CLOCK_SLACK_MS, router.getOutput());
});

// The page stayed away for as long as the process lived.
test.serial("a router serves while the port of the metrics page is in use, and the page comes back", async t => {
    const starts = await RouterStarts.create(t);
    const address = starts.getAddress("metrics");
    const free = await takePort("tcp", address);
    const router = starts.start();
    await starts.waitUntilServing(router);
    await free();
    const isBack = async (): Promise<boolean> =>
        (await readStatus(`${address.host}:${address.port}`, "/metrics")).includes("200 ");
    await waitUntil("the page is back", isBack);
    router.child.kill("SIGTERM");
    t.deepEqual(await router.exited, [0, null]);
});

// A taken peer port ended the process with code 0 and without a reason, or left it running without serving.
test.serial("a router whose port stays in use ends with a reason and a code other than 0", async t => {
    const starts = await RouterStarts.create(t);
    const results = await Promise.all(REQUIRED.map(async (server, i) => {
        const settings = starts.buildShortSettings(i + 1);
        const { protocol, host, port } = starts.getAddress(server, settings);
        const free = await takePort(protocol, { host, port });
        const router = starts.startWith(JSON.stringify(settings));
        const late = new Promise<undefined>(resolve => setTimeout(() => resolve(undefined), ENDED_MS));
        const [code] = await Promise.race([router.exited, late]) ?? ["still runs"];
        const reason = `"server":"${server}","address":"${host}:${port}"`;
        const isTold = [router.getOutput(), router.getErrors()].map(text =>
            text.includes("start-failed") && text.includes(reason) && text.includes("EADDRINUSE")
        );
        await free();
        return { server, code, isTold };
    }));
    t.deepEqual(results, REQUIRED.map(server => ({ server, code: 2, isTold: [true, true] })));
});

// The operating system may give any free port to an outgoing connection, also one that a server needs next.
test.serial("a router waits for a port that an outgoing connection has", async t => {
    const starts = await RouterStarts.create(t);
    for (const key of ["callerAddress", "readinessAddress", "directoryAddress"] as const) {
        let isServed = false;
        for (let round = 0; !isServed && round < MAX_ROUNDS; round += 1) {
            const connection = await connectAlone();
            const settings = { ...starts.settings, [key]: `127.0.0.1:${connection.port}` };
            const router = starts.startWith(JSON.stringify(settings));
            await waitForPort(router, settings[key]);
            await connection.close();
            const isListening = (): boolean => router.getOutput().includes(`"event":"listening"`);
            await waitUntil(
                "the process listens, or another process has a connection with the port",
                () => isListening() || connection.isReused(),
            );
            if (isListening()) {
                await starts.waitUntilServing(router, settings);
                isServed = true;
            }
            router.child.kill("SIGKILL");
            await router.exited;
        }
        t.true(isServed, key);
    }
});

// The process ended by itself with code 0 or 2, or went on waiting without a handler.
test.serial("a stop signal ends a router that waits for a port, with code 0 and a line", async t => {
    const starts = await RouterStarts.create(t);
    for (const server of REQUIRED) {
        const address = starts.getAddress(server);
        const free = await takePort(address.protocol, address);
        const router = starts.start();
        await waitForPort(router, server);
        router.child.kill("SIGTERM");
        t.deepEqual(await router.exited, [0, null], server);
        t.regex(router.getOutput(), /"event":"stopped".*"reason":"start-stopped"/u);
        await free();
    }
});
