import test from "ava";
import { request } from "undici";
import { sendChat } from "../../src/standIns/client/sendChat.js";
import type { ChildProcess } from "../../src/testing/childProcess.js";
import { createTafOptions } from "../../src/testing/createTafOptions.js";
import { Fleet } from "../../src/testing/fleet.js";
import { getAccountKey } from "../../src/testing/getAccountKey.js";
import { waitUntil } from "../../src/testing/waitUntil.js";

const ENTRIES_TERM_MS = 1000;
/** Callers in this test stop early, so that a slow test host does not delay a request past the entries term. */
const CALLER_MARGIN_MS = 500;
/** With more requests, admission control refuses those expected to wait beyond the default deadline of 60 s. */
const MAX_REQUESTS = 20;

async function listEntries(daemon: ChildProcess): Promise<readonly string[]> {
    const response = await request(`http://${daemon.address}/v1/entries`);
    const body = await response.body.json() as {
        readonly entries: readonly { readonly instance: string; }[];
    };
    return body.entries.map(entry => entry.instance);
}

function sendPrompt(daemon: ChildProcess, prompt: string): ReturnType<typeof sendChat> {
    return sendChat({
        entry: daemon.address,
        key: getAccountKey("capel"),
        model: "model-desk",
        prompt,
        stream: true,
        minTokens: 150,
        maxTokens: 200,
    });
}

test("a planned stop interrupts no request and no entries response names the stopped instance", async t => {
    // Streams of at least 1.5 s outlast the entries term and its margin, so a premature stop cuts some of them.
    const fleet = await Fleet.create(createTafOptions({
        accounts: { capel: 1 },
        engines: 1,
        engineSlots: 100,
        plainServers: 1,
        fleet: {
            engine: { tokenIntervalMs: 10, minTokens: 150, maxTokens: 200 },
            daemon: { entriesTermMs: ENTRIES_TERM_MS },
            instances: { "daemon-0": "caerdydd-a", "daemon-1": "caerdydd-a" },
        },
    }));
    t.teardown(() => fleet.close());
    const leaving = fleet.getDaemon("daemon-0");
    const staying = fleet.getDaemon("daemon-1");
    for (const daemon of [leaving, staying]) {
        await waitUntil("both entries are listed", async () => (await listEntries(daemon)).length === 2);
        await waitUntil("a response", async () => (await sendPrompt(daemon, "warm-up")).status === 200);
    }
    const inFlight = Array.from({ length: 10 }, (_, index) => sendPrompt(leaving, `before ${index}`));
    leaving.kill("SIGTERM");
    leaving.kill("SIGTERM");
    // A caller may use the leaving entry as long as a response that names it is valid.
    let validUntil = 0;
    await waitUntil("the leaving entry is no longer listed", async () => {
        const requestedAt = Date.now();
        const isNamed = (await listEntries(staying)).includes("daemon-0");
        validUntil = isNamed ? requestedAt + ENTRIES_TERM_MS : validUntil;
        return !isNamed;
    });
    while (Date.now() < validUntil - CALLER_MARGIN_MS) {
        if (inFlight.length < MAX_REQUESTS) {
            inFlight.push(sendPrompt(leaving, `while leaving ${inFlight.length}`));
        }
        await listEntries(staying);
    }
    const results = await Promise.all(inFlight);
    t.deepEqual(results.filter(result => !result.correct), []);
    t.is(await leaving.stop(), 0);
    t.deepEqual(await listEntries(staying), ["daemon-1"]);
});
