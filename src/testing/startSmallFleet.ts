import { createHash } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { buildBundle } from "../core/configuration/buildBundle.js";
import { configurationSchema } from "../core/configuration/configurationSchema.js";
import { ChildProcess } from "./childProcess.js";

interface SmallFleetOptions {
    readonly daemons: number;
    /** Term of an entries answer in milliseconds. */
    readonly entriesTermMs: number;
    /** Settings of the engine stand-in. */
    readonly engine: Readonly<Record<string, number>>;
}

interface SmallFleet {
    readonly daemons: readonly ChildProcess[];
    readonly plain: ChildProcess;
    /** Kills all processes. */
    readonly kill: () => Promise<void>;
}

/**
 * Starts daemons, a platform, an engine and a plain service whose POST calls are non-repeatable. The account
 * `capel` with the key `capel-key` may use the services `model-desk` and `order-book`.
 */
export async function startSmallFleet(options: SmallFleetOptions): Promise<SmallFleet> {
    const started: ChildProcess[] = [];
    const spawnModule = async (module: string, args: readonly string[]): Promise<ChildProcess> => {
        const child = await ChildProcess.create(new URL(`../${module}`, import.meta.url), args);
        started.push(child);
        return child;
    };
    const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
    const platform = await spawnModule("standIns/platform/main.js", []);
    const engine = await spawnModule("standIns/engine/main.js", [JSON.stringify(options.engine)]);
    const plain = await spawnModule("standIns/plainService/main.js", []);
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
        return spawnModule("daemon/main.js", ["--settings", path]);
    }));
    const configuration = configurationSchema.parse({
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
    });
    const computeDigest = (text: string): string => createHash("sha256").update(text).digest("hex");
    await publishValue(platform, "configuration", buildBundle(configuration, 1, computeDigest));
    await publishValue(platform, "instances", {
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
    const kill = async (): Promise<void> => {
        await Promise.all(started.map(child => child.stop("SIGKILL")));
    };
    return { daemons, plain, kill };
}

async function publishValue(platform: ChildProcess, name: string, value: object): Promise<void> {
    const body = JSON.stringify(value);
    const response = await request(`http://${platform.address}/control/${name}`, { method: "PUT", body });
    await response.body.dump();
}
