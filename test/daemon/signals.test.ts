import test from "ava";
import { execFileSync } from "node:child_process";
import { once } from "node:events";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { text } from "node:stream/consumers";
import { request } from "undici";
import { ignoredSignals } from "../../src/testing/platform/ignoredSignals.js";
import { stopSignals } from "../../src/testing/platform/stopSignals.js";
import { sendCaller } from "../../src/testing/sendCaller.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { daemonProcess } from "../testing/daemonProcess.js";
import { hasSignalHandlers } from "../testing/hasSignalHandlers.js";

function isLogged({ getErrors }: { readonly getErrors: () => string; }, signal: string): boolean {
    return getErrors().split("\n").some(line =>
        line.includes(`"signal-received"`) && line.includes(`"${signal}"`)
    );
}

// Only SIGTERM began a planned stop; the default action of the others ended the daemon at once.
for (const signal of stopSignals) {
    test(`${signal}: begins a planned stop, which answers the requests that wait`, async t => {
        const daemon = await daemonProcess.run(t);
        const sent = sendCaller(`http://${daemon.callerAddress}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: "Bearer key" },
            body: "{}",
        });
        // The next response comes after the request has been read.
        t.is((await request(`http://${daemon.callerAddress}/v1/entries`)).statusCode, 200);
        daemon.child.kill(signal);
        daemon.child.kill(signal);
        t.is((await sent).status, 503);
        t.deepEqual(await daemon.exited, [0, null]);
        t.true(isLogged(daemon, signal));
    });
}

// The default action of most of these signals ended the daemon at once; SIGUSR1 opened a debugger on a port.
test("signals that ask for no end are logged and do not end the daemon", async t => {
    const daemon = await daemonProcess.run(t);
    for (const signal of ignoredSignals) {
        daemon.child.kill(signal);
    }
    await waitUntil(
        "the signals are logged",
        () =>
            daemon.child.exitCode !== null || daemon.child.signalCode !== null
            || ignoredSignals.every(signal => isLogged(daemon, signal)),
    );
    t.is(daemon.child.signalCode, null);
    t.is((await request(`http://${daemon.callerAddress}/v1/entries`)).statusCode, 200);
    t.false(daemon.getErrors().includes("Debugger listening"));
});

// The daemon had no handler until it listened, so that a signal during its start ended it.
test("a daemon that is signalled while it waits for its settings logs the signals and ends with code 0", async t => {
    const settingsPath = join(await mkdtemp(join(tmpdir(), "baobabspread-")), "settings");
    execFileSync("mkfifo", [settingsPath]);
    const child = daemonProcess.spawn(t, settingsPath);
    const exited = once(child, "exit");
    const errors = text(child.stderr);
    await waitUntil(
        "the daemon handles the signals",
        () => child.exitCode !== null || hasSignalHandlers(child.pid, ignoredSignals),
    );
    for (const signal of [...ignoredSignals, "SIGINT", "SIGTERM"] as const) {
        child.kill(signal);
    }
    t.deepEqual(await exited, [0, null]);
    t.regex(await errors, /"signal-received".*"SIGUSR1"|"SIGUSR1".*"signal-received"/u);
});
