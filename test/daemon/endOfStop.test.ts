import test from "ava";
import { waitUntil } from "../../src/testing/waitUntil.js";
import { daemonProcess } from "../testing/daemonProcess.js";
import { rawCaller } from "../testing/router/rawCaller.js";

const CALLERS = 40;
/** The daemon serves for 1.5 s after the signal, until no entries response names it any more. */
const BEFORE_END_MS = 1200;
const PAST_END_MS = 800;

const waitMs = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

// The listening sockets were closed with connections in their queues, which the operating system reset.
test("a planned stop answers the requests on connections that the daemon has not yet accepted at its end", async t => {
    const daemon = await daemonProcess.run(t);
    daemon.child.kill("SIGTERM");
    await waitMs(BEFORE_END_MS);
    daemon.child.kill("SIGSTOP");
    let sent = 0;
    const send = (address: string, path: string): ReturnType<typeof rawCaller.send>[] =>
        Array.from({ length: CALLERS }, () => {
            const request = `GET ${path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n`;
            return rawCaller.send(`http://${address}`, request, () => sent += 1);
        });
    const calls = [
        ...send(daemon.callerAddress, "/v1/chat/completions"),
        ...send(daemon.operatorAddress, "/healthz"),
    ];
    await waitUntil("all requests are sent", () => sent === calls.length);
    await waitMs(PAST_END_MS);
    daemon.child.kill("SIGCONT");
    const outcomes = (await Promise.all(calls)).map(({ status, errorCode }) => errorCode ?? status);
    t.deepEqual(outcomes, calls.map((_call, i) => i < CALLERS ? 503 : 200));
    t.deepEqual(await daemon.exited, [0, null]);
});
