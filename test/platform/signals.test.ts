import test, { registerCompletionHandler } from "ava";
import { readdirSync, readFileSync, readlinkSync } from "node:fs";
import type { CooperativeFleet } from "../../src/testing/platform/cooperativeFleet.js";
import { ignoredSignals } from "../../src/testing/platform/ignoredSignals.js";
import { stopSignals } from "../../src/testing/platform/stopSignals.js";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { createRawFleet } from "../testing/router/createRawFleet.js";
import { rawAnswers } from "../testing/router/rawAnswers.js";
import { sendToFleet } from "../testing/router/sendToFleet.js";

// Half-open connections left by a fault would keep the test process alive.
registerCompletionHandler(() => process.exit());

/** Long enough for the signals, and shorter than the timeout of the route (1 s). */
const ANSWER_MS = 600;

async function startRequest(
    t: Parameters<typeof createRawFleet>[0],
    lines: string[] = [],
): Promise<{ readonly fleet: CooperativeFleet; readonly response: ReturnType<typeof sendToFleet>; }> {
    const { fleet, targets } = await createRawFleet(t, "plain", [
        request => rawAnswers.writePlain(request, ANSWER_MS),
    ], { onLogLine: (_host, line) => lines.push(line) });
    const response = sendToFleet(fleet, "/unsafe/x", { "Request-Id": "in-flight" });
    await waitUntil(
        "the target has the request",
        () => targets[0]?.requestIds.includes("in-flight") === true,
    );
    return { fleet, response };
}

/** Counts the TCP sockets of a process that listen. */
function countListeners(pid: number): number {
    const listening = new Set(
        ["tcp", "tcp6"].flatMap(name => readFileSync(`/proc/${pid}/net/${name}`, "utf8").split("\n"))
            .map(line => line.trim().split(/\s+/u))
            .filter(fields => fields[3] === "0A")
            .map(fields => `socket:[${fields[9]}]`),
    );
    const links = readdirSync(`/proc/${pid}/fd`).map(fd => {
        try {
            return readlinkSync(`/proc/${pid}/fd/${fd}`);
        }
        catch {
            // The descriptor was closed meanwhile.
            return "";
        }
    });
    return links.filter(link => listening.has(link)).length;
}

// The default action of each of these signals ended the process at once, with all requests that it was serving.
for (const signal of stopSignals) {
    test.serial(`${signal}: begins a planned stop, which answers the requests that are being served`, async t => {
        const lines: string[] = [];
        const { fleet, response } = await startRequest(t, lines);
        const code = await fleet.instances[0]?.process.stop(signal);
        const { status, headers } = await response;
        t.is(status, 200);
        // A caller that kept the connection would send its next request to a process that ends.
        t.is(headers["connection"], "close");
        t.is(code, 0);
        t.true(
            lines.some(line => line.includes(`"event":"signal-received"`) && line.includes(`"${signal}"`)),
        );
        t.true(lines.some(line => line.includes(`"event":"stopped"`)));
    });
}

// The default action of most of these signals ended the process at once; SIGUSR1 opened a debugger on a port.
test.serial("signals that ask for no end are logged and neither end the process nor open a port", async t => {
    const lines: string[] = [];
    const { fleet, response } = await startRequest(t, lines);
    const router = fleet.instances[0]?.process ?? t.fail() as never;
    const listeners = countListeners(router.pid);
    for (const signal of ignoredSignals) {
        router.kill(signal);
    }
    const isLogged = (signal: string): boolean =>
        lines.some(line => line.includes(`"event":"signal-received"`) && line.includes(`"${signal}"`));
    await waitUntil(
        "the signals are logged",
        () => !router.running || ignoredSignals.every(isLogged),
    );
    t.true(router.running);
    t.is((await response).status, 200);
    t.is(countListeners(router.pid), listeners);
    t.is((await sendToFleet(fleet, "/unsafe/x")).status, 200);
});

// A signal behind another one ended the process before its requests had ended.
test.serial("a stop signal that others follow does not end the requests that are being served", async t => {
    const { fleet, response } = await startRequest(t);
    const router = fleet.instances[0]?.process ?? t.fail() as never;
    const stopped = router.stop("SIGTERM");
    for (const signal of [...stopSignals, ...ignoredSignals]) {
        router.kill(signal);
    }
    t.is((await response).status, 200);
    t.is(await stopped, 0);
});
