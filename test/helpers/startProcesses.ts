import type { ExecutionContext } from "ava";
import { createHash } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { ChildProcess } from "../../src/testing/childProcess.js";

interface ProcessOptions {
    readonly daemons: number;
    /** Term of an entries answer in milliseconds. */
    readonly entriesTermMs: number;
    /** Settings of the engine stand-in. */
    readonly engine: Readonly<Record<string, number>>;
}

interface Processes {
    readonly daemons: readonly ChildProcess[];
    readonly plain: ChildProcess;
}

/**
 * Starts daemons, a platform, an engine and a plain service whose POST calls are non-repeatable. The account
 * `capel` with the key `capel-key` may use the services `model-desk` and `order-book`.
 */
export async function startProcesses(t: ExecutionContext, options: ProcessOptions): Promise<Processes> {
    const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
    const platform = await spawnModule(t, "standIns/platform/main.js", []);
    const engine = await spawnModule(t, "standIns/engine/main.js", [JSON.stringify(options.engine)]);
    const plain = await spawnModule(t, "standIns/plainService/main.js", []);
    const daemons = await Promise.all(Array.from({ length: options.daemons }, async (_, index) => {
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
                entriesTermMs: options.entriesTermMs,
            }),
        );
        return spawnModule(t, "daemon/main.js", ["--settings", path]);
    }));
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
                services: ["model-desk", "order-book"],
            }],
            services: [
                { name: "model-desk", kind: "model" },
                { name: "order-book", kind: "plain", nonRepeatableMethods: ["POST"] },
            ],
            targets: [
                ["engine", "model-desk", engine.address],
                ["plain", "order-book", plain.address],
            ].map(([name, service, address]) => ({
                name,
                service,
                dataCentre: "caerdydd-a",
                url: `http://${address ?? ""}`,
                slotLimit: 100,
            })),
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
    return { daemons, plain };
}

async function spawnModule(
    t: ExecutionContext,
    module: string,
    args: readonly string[],
): Promise<ChildProcess> {
    const child = await ChildProcess.create(new URL(`../../src/${module}`, import.meta.url), args);
    t.teardown(() => child.stop("SIGKILL"));
    return child;
}

async function publishValue(platform: ChildProcess, name: string, value: object): Promise<void> {
    const body = JSON.stringify(value);
    const response = await request(`http://${platform.address}/control/${name}`, { method: "PUT", body });
    await response.body.dump();
}
