import test from "ava";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { buildRouterSettings } from "../../src/testing/platform/buildRouterSettings.js";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { getLoopbackHost } from "../../src/testing/platform/getLoopbackHost.js";
import { waitUntil } from "../../src/testing/waitUntil.js";

const ROUTER = fileURLToPath(new URL("../../src/platform/main.js", import.meta.url));
const END_WITH_PARENT = new URL("../../src/testing/endWithParent.js", import.meta.url).href;
const SIGHUP_BIT = 1n;

/** Starts a router whose settings are a named pipe, so that it waits for them. */
function startWaitingRouter(settingsPath: string): ChildProcess {
    return spawn(process.execPath, ["--import", END_WITH_PARENT, ROUTER, settingsPath], {
        stdio: ["ignore", "pipe", "ignore"],
    });
}

function hasSighupHandler(pid: number | undefined): boolean {
    const status = readFileSync(`/proc/${String(pid)}/status`, "utf8");
    const caught = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/mu.exec(status)?.[1] ?? "0"}`);
    return (caught & SIGHUP_BIT) !== 0n;
}

// A signal before the handlers were attached ended the process.
test("a router that is signalled while it starts reads its settings, starts and stops as planned", async t => {
    const host = getLoopbackHost(0);
    const ports = await findPorts(4);
    const settingsPath = join(mkdtempSync(join(tmpdir(), "startup-signals-")), "settings");
    execFileSync("mkfifo", [settingsPath]);
    const router = startWaitingRouter(settingsPath);
    t.teardown(() => router.kill("SIGKILL"));
    const exited = once(router, "exit") as Promise<[number | null, NodeJS.Signals | null]>;
    const output = text(router.stdout as NodeJS.ReadableStream);
    await waitUntil(
        "the router handles SIGHUP",
        () => router.exitCode !== null || hasSighupHandler(router.pid),
    );
    router.kill("SIGHUP");
    router.kill("SIGTERM");
    await writeFile(
        settingsPath,
        JSON.stringify(buildRouterSettings({
            host,
            firstHost: host,
            ports,
            storeAddress: `${host}:1`,
            stopTimeoutSeconds: 1,
            revocationMs: 4000,
        })),
    );
    t.deepEqual(await exited, [0, null]);
    const log = await output;
    t.regex(log, /"reload-requested"/u);
    t.regex(log, /"stopped"/u);
});
