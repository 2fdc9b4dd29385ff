import test from "ava";
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { buildRouterSettings } from "../../src/testing/platform/buildRouterSettings.js";
import { findPorts } from "../../src/testing/platform/findPorts.js";
import { getLoopbackHost } from "../../src/testing/platform/getLoopbackHost.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { hasSignalHandlers } from "../testing/hasSignalHandlers.js";

const ROUTER = fileURLToPath(new URL("../../src/platform/main.js", import.meta.url));
const END_WITH_PARENT = new URL("../../src/testing/endWithParent.js", import.meta.url).href;
const SIGNALS = ["SIGHUP", "SIGUSR1", "SIGUSR2", "SIGALRM"] as const;

/** Starts a router whose settings are a named pipe, so that it waits for them. */
function startWaitingRouter(settingsPath: string): ChildProcess {
    return spawn(process.execPath, ["--import", END_WITH_PARENT, ROUTER, settingsPath], {
        stdio: ["ignore", "pipe", "ignore"],
    });
}

// A signal before the handlers were attached ended the process.
for (const stopSignal of ["SIGTERM", "SIGINT"] as const) {
    test(`a router that gets ${stopSignal} while it starts reads its settings, starts and stops as planned`, async t => {
        const host = getLoopbackHost(stopSignal === "SIGINT" ? 1 : 0);
        const ports = await findPorts(4);
        const settingsPath = join(mkdtempSync(join(tmpdir(), "startup-signals-")), "settings");
        execFileSync("mkfifo", [settingsPath]);
        const router = startWaitingRouter(settingsPath);
        t.teardown(() => router.kill("SIGKILL"));
        const exited = once(router, "exit") as Promise<[number | null, NodeJS.Signals | null]>;
        const output = text(router.stdout as NodeJS.ReadableStream);
        await waitUntil(
            "the router handles the signals",
            () => router.exitCode !== null || hasSignalHandlers(router.pid, SIGNALS),
        );
        for (const signal of [...SIGNALS, stopSignal]) {
            router.kill(signal);
        }
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
        t.regex(log, new RegExp(`"signal-received".*"${stopSignal}"`, "u"));
        t.regex(log, /"stopped"/u);
    });
}
