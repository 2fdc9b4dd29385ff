import test from "ava";
import { createHash } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { sendChat } from "../../src/standIns/client/sendChat.js";
import { ChildProcess } from "../../src/testing/childProcess.js";

const ENTRIES_TERM_MS = 1000;
/** Callers in this test stop early, so that a slow machine does not delay a request past the end of its term. */
const CALLER_MARGIN_MS = 500;
const MAX_REQUESTS = 40;

async function spawnModule(module: string, args: readonly string[]): Promise<ChildProcess> {
    return ChildProcess.create(new URL(`../../src/${module}`, import.meta.url), args);
}

async function publishValue(platform: ChildProcess, name: string, value: object): Promise<void> {
    const body = JSON.stringify(value);
    const response = await request(`http://${platform.address}/control/${name}`, { method: "PUT", body });
    await response.body.dump();
}

async function spawnDaemon(directory: string, platform: ChildProcess, name: string): Promise<ChildProcess> {
    const path = join(directory, `${name}.json`);
    await writeFile(
        path,
        JSON.stringify({
            instance: name,
            dataCentre: "caerdydd-a",
            callerAddress: "127.0.0.1:0",
            peerAddress: "127.0.0.1:0",
            operatorAddress: "127.0.0.1:0",
            platformUrl: `http://${platform.address}`,
            entriesTermMs: ENTRIES_TERM_MS,
        }),
    );
    return spawnModule("daemon/main.js", ["--settings", path]);
}

async function listEntries(daemon: ChildProcess): Promise<readonly string[]> {
    const response = await request(`http://${daemon.address}/v1/entries`);
    const body = await response.body.json() as {
        readonly entries: readonly { readonly instance: string; }[];
    };
    return body.entries.map(entry => entry.instance);
}

async function waitFor(isTrue: () => Promise<boolean>): Promise<void> {
    while (!await isTrue()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

function sendPrompt(daemon: ChildProcess, prompt: string): ReturnType<typeof sendChat> {
    return sendChat({
        entry: daemon.address,
        key: "capel-key",
        model: "model-desk",
        prompt,
        stream: true,
        minTokens: 150,
        maxTokens: 200,
    });
}

test("a planned stop interrupts no request and no entries answer names a stopped instance", async t => {
    const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
    const platform = await spawnModule("standIns/platform/main.js", []);
    // Streams of at least 1.5 s outlast the entries term and its margin, so some are cut if the stop is hasty.
    const engine = await spawnModule("standIns/engine/main.js", [
        JSON.stringify({ name: "engine", tokenIntervalMs: 10, minTokens: 150, maxTokens: 200 }),
    ]);
    const daemons = await Promise.all(
        ["daemon-0", "daemon-1"].map(name => spawnDaemon(directory, platform, name)),
    );
    const [leaving, staying] = daemons as [ChildProcess, ChildProcess];
    t.teardown(async () => {
        await Promise.all([...daemons, engine, platform].map(child => child.stop("SIGKILL")));
    });
    await publishValue(platform, "configuration", {
        revision: 1,
        digest: "",
        configuration: {
            regions: [{ name: "de-cymru" }],
            dataCentres: [{ name: "caerdydd-a", region: "de-cymru" }],
            shares: [{ name: "standard", weight: 1 }],
            clientAccounts: [{
                name: "capel",
                share: "standard",
                keyDigests: [createHash("sha256").update("capel-key").digest("hex")],
                services: ["model-desk"],
            }],
            services: [{ name: "model-desk", kind: "model" }],
            targets: [{
                name: "engine",
                service: "model-desk",
                dataCentre: "caerdydd-a",
                url: `http://${engine.address}`,
                slotLimit: 100,
            }],
        },
    });
    await publishValue(platform, "instances", {
        revision: 1,
        instances: daemons.map(daemon => ({
            name: daemon.listening.name,
            dataCentre: "caerdydd-a",
            callerAddress: daemon.address,
            peerAddress: daemon.listening["peerAddress"],
            operatorAddress: "127.0.0.1:1",
            state: "live",
        })),
    });
    for (const daemon of daemons) {
        await waitFor(async () => (await listEntries(daemon)).length === 2);
        await waitFor(async () => (await sendPrompt(daemon, "warm-up")).status === 200);
    }
    const inFlight = Array.from({ length: 10 }, (_, index) => sendPrompt(leaving, `before ${index}`));
    leaving.kill("SIGTERM");
    leaving.kill("SIGTERM");
    // A caller may use the leaving entry as long as an answer that names it is valid.
    let validUntil = 0;
    await waitFor(async () => {
        const askedAt = Date.now();
        const isNamed = (await listEntries(staying)).includes("daemon-0");
        validUntil = isNamed ? askedAt + ENTRIES_TERM_MS : validUntil;
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
