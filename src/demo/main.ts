import { createHash } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { buildBundle } from "../core/configuration/buildBundle.js";
import { configurationSchema } from "../core/configuration/configurationSchema.js";
import { sendChat } from "../standIns/client/sendChat.js";
import { ChildProcess } from "../testing/childProcess.js";

const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
const processes: ChildProcess[] = [];
const platform = await spawnProcess("../standIns/platform/main.js", []);
const engines = await Promise.all(
    [0, 1, 2].map(index =>
        spawnProcess("../standIns/engine/main.js", [JSON.stringify({ name: `engine-${index}` })])
    ),
);
const daemons = await Promise.all([0, 1, 2].map(async index => {
    const path = join(directory, `daemon-${index}.json`);
    await writeFile(
        path,
        JSON.stringify({
            instance: `daemon-${index}`,
            dataCentre: "caerdydd-a",
            callerAddress: "127.0.0.1:0",
            peerAddress: "127.0.0.1:0",
            operatorAddress: "127.0.0.1:0",
            platformUrl: `http://${platform.address}`,
            entriesTermMs: 500,
        }),
    );
    return spawnProcess("../daemon/main.js", ["--settings", path]);
}));
await publishValue(
    "configuration",
    buildBundle(
        configurationSchema.parse({
            regions: [{ name: "de-cymru" }],
            dataCentres: [{ name: "caerdydd-a", region: "de-cymru", inService: true }],
            shares: [{ name: "standard", weight: 1 }],
            clientAccounts: [{
                name: "capel",
                share: "standard",
                keyDigests: [createHash("sha256").update("capel-key").digest("hex")],
                services: ["model-desk"],
            }],
            services: [{ name: "model-desk", kind: "model" }],
            targets: engines.map((engine, index) => ({
                name: `engine-${index}`,
                service: "model-desk",
                dataCentre: "caerdydd-a",
                url: `http://${engine.address}`,
                slotLimit: 8,
            })),
        }),
        1,
        text => createHash("sha256").update(text).digest("hex"),
    ),
);
await publishValue("instances", {
    revision: 1,
    instances: daemons.map(daemon => ({
        name: daemon.listening.name,
        dataCentre: "caerdydd-a",
        callerAddress: daemon.address,
        peerAddress: daemon.listening["peerAddress"],
        operatorAddress: daemon.listening["operatorAddress"],
        state: "live",
    })),
});
await waitForConfiguration();
const results = await Promise.all(Array.from({ length: 60 }, (_, index) =>
    sendChat({
        entry: daemons[index % daemons.length]?.address ?? "",
        key: "capel-key",
        model: "model-desk",
        prompt: `schedule ${index}`,
        stream: index % 2 === 0,
        minTokens: 4,
        maxTokens: 40,
    })));
const correct = results.filter(result => result.correct).length;
console.table({ requests: results.length, correct });
await Promise.all(processes.map(child => child.stop()));
process.exitCode = correct === results.length ? 0 : 1;

async function spawnProcess(module: string, args: readonly string[]): Promise<ChildProcess> {
    const child = await ChildProcess.create(new URL(module, import.meta.url), args);
    processes.push(child);
    return child;
}

async function publishValue(name: string, value: object): Promise<void> {
    const response = await request(`http://${platform.address}/control/${name}`, {
        method: "PUT",
        body: JSON.stringify(value),
    });
    await response.body.dump();
}

async function waitForConfiguration(): Promise<void> {
    for (;;) {
        const answers = await Promise.all(daemons.map(async daemon => {
            const response = await request(`http://${daemon.address}/v1/chat/completions`, {
                method: "POST",
            });
            await response.body.dump();
            return response.statusCode;
        }));
        if (answers.every(status => status === 401)) {
            return;
        }
    }
}
