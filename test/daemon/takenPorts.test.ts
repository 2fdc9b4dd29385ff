import test, { type ExecutionContext } from "ava";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { getLoopbackHost } from "../../src/testing/platform/getLoopbackHost.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { startProcess } from "../testing/platform/startProcess.js";
import { takePort } from "../testing/platform/takePort.js";

const SERVERS = ["peers", "operators", "callers"] as const;
const TAKEN_MS = 400;

interface DaemonSetup {
    readonly ports: readonly number[];
    readonly host: string;
    readonly start: () => ReturnType<typeof startProcess>;
}

async function createSetup(
    t: ExecutionContext,
    hostIndex: number,
    settings: object = {},
): Promise<DaemonSetup> {
    const host = getLoopbackHost(hostIndex);
    const ports = await findPorts(SERVERS.length);
    const [peers, operators, callers] = ports;
    const path = join(await mkdtemp(join(tmpdir(), "taken-ports-")), "daemon.json");
    await writeFile(
        path,
        JSON.stringify({
            instance: "daemon-0",
            dataCentre: "caerdydd-a",
            peerAddress: `${host}:${peers}`,
            operatorAddress: `${host}:${operators}`,
            callerAddress: `${host}:${callers}`,
            platformUrl: "http://127.0.0.1:1",
            entriesTermMs: 500,
            ...settings,
        }),
    );
    const module = new URL("../../src/daemon/main.js", import.meta.url);
    return { ports, host, start: () => startProcess(t, module, ["--settings", path]) };
}

async function waitForPort(daemon: ReturnType<typeof startProcess>, server: string): Promise<void> {
    const isAwaited = (): boolean =>
        daemon.getErrors().includes("port-awaited") && daemon.getErrors().includes(`"server":"${server}"`);
    await waitUntil("the daemon waits", () => isAwaited() || daemon.child.exitCode !== null);
    if (daemon.child.exitCode !== null) {
        throw new Error(`ended with code ${String(daemon.child.exitCode)}: ${daemon.getErrors()}`);
    }
}

async function readStatus(host: string, port: number | undefined, path: string): Promise<number> {
    return (await sendCaller(`http://${host}:${String(port)}${path}`, { method: "GET", headers: {} })).status;
}

async function waitUntilServing({ host, ports }: DaemonSetup): Promise<void> {
    await waitUntil("the daemon serves", async () => await readStatus(host, ports[2], "/v1/entries") === 200);
}

// A port that was in use at one moment ended the process.
for (const [i, server] of SERVERS.entries()) {
    test.serial(`a daemon waits for the port "${server}" while it is in use, and serves afterwards`, async t => {
        const setup = await createSetup(t, i);
        const { host, ports, start } = setup;
        const free = await takePort("tcp", { host, port: ports[i] ?? 0 });
        const daemon = start();
        await waitForPort(daemon, server);
        await new Promise(resolve => setTimeout(resolve, TAKEN_MS));
        if (server === "callers") {
            t.is(await readStatus(host, ports[1], "/readyz"), 503);
        }
        else {
            t.is(await readStatus(host, ports[2], "/v1/entries"), 0);
        }
        await free();
        await waitUntilServing(setup);
        daemon.child.kill("SIGTERM");
        t.deepEqual(await daemon.exited, [0, null]);
    });

    test.serial(`a daemon whose port "${server}" stays in use ends with a reason and a code other than 0`, async t => {
        const { host, ports, start } = await createSetup(t, i, { portTimeoutMs: 500 });
        const address = { host, port: ports[i] ?? 0 };
        const free = await takePort("tcp", address);
        const daemon = start();
        t.deepEqual(await daemon.exited, [1, null]);
        const reason = new RegExp(`start-failed.*${server}.*${host}:${address.port}.*EADDRINUSE`, "u");
        t.regex(daemon.getErrors(), reason);
        await free();
    });

    // Only a daemon that listened handled the signal.
    test.serial(`a stop signal ends a daemon that waits for the port "${server}", with code 0 and a line`, async t => {
        const { host, ports, start } = await createSetup(t, i);
        const free = await takePort("tcp", { host, port: ports[i] ?? 0 });
        const daemon = start();
        await waitForPort(daemon, server);
        daemon.child.kill("SIGTERM");
        t.deepEqual(await daemon.exited, [0, null]);
        t.regex(daemon.getErrors(), /"event":"stopped"/u);
        await free();
    });
}

// The successor ended while its predecessor still finished its requests; then nobody ran.
test.serial("a daemon that starts while its predecessor stops serves afterwards", async t => {
    const setup = await createSetup(t, 0);
    const predecessor = setup.start();
    await waitUntilServing(setup);
    predecessor.child.kill("SIGTERM");
    const successor = setup.start();
    t.deepEqual(await predecessor.exited, [0, null]);
    await waitUntilServing(setup);
    t.is(successor.child.exitCode, null, successor.getErrors());
});
