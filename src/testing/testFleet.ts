import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import type { StatusReport } from "../core/explain/statusReport.js";
import type { Instance } from "../core/membership/instance.js";
import { ChildProcess } from "./childProcess.js";

/** Daemons and a platform stand-in as processes on this machine. */
export class TestFleet {
    readonly #directory: string;
    readonly #daemons = new Map<string, ChildProcess>();
    readonly platform: ChildProcess;

    private constructor(directory: string, platform: ChildProcess) {
        this.#directory = directory;
        this.platform = platform;
    }

    /** Starts the platform without values. */
    static async create(): Promise<TestFleet> {
        const platform = await ChildProcess.create(
            new URL("../standIns/platform/main.js", import.meta.url),
            [],
        );
        return new TestFleet(await mkdtemp(join(tmpdir(), "baobabspread-")), platform);
    }

    /** Starts a daemon; `settings` replace the defaults of the test. */
    async spawnDaemon(instance: string, settings: object = {}): Promise<ChildProcess> {
        const path = join(this.#directory, `${instance}.json`);
        await writeFile(
            path,
            JSON.stringify({
                instance,
                dataCentre: "caerdydd-a",
                callerAddress: "127.0.0.1:0",
                peerAddress: "127.0.0.1:0",
                operatorAddress: "127.0.0.1:0",
                platformUrl: `http://${this.platform.address}`,
                ...settings,
            }),
        );
        const module = new URL("../daemon/main.js", import.meta.url);
        const daemon = await ChildProcess.create(module, ["--settings", path]);
        this.#daemons.set(instance, daemon);
        return daemon;
    }

    /** Stops a daemon without notice. */
    async killDaemon(instance: string): Promise<void> {
        await this.#daemons.get(instance)?.stop("SIGKILL");
    }

    /** Makes the platform show a value: `configuration` or `instances`. */
    async publishValue(name: string, value: object): Promise<void> {
        const response = await request(`http://${this.platform.address}/control/${name}`, {
            method: "PUT",
            body: JSON.stringify(value),
        });
        await response.body.dump();
    }

    /** Makes the platform list the running daemons. */
    async publishInstances(revision: number, change: Partial<Instance> = {}): Promise<void> {
        const instances = [...this.#daemons].map(([name, { listening }]) => ({
            name,
            dataCentre: "caerdydd-a",
            callerAddress: listening["callerAddress"],
            peerAddress: listening["peerAddress"],
            operatorAddress: listening["operatorAddress"],
            state: "live",
            ...change,
        }));
        await this.publishValue("instances", { revision, instances });
    }

    /** Waits until the status of a daemon fulfils a condition and returns it. */
    async waitForStatus(
        instance: string,
        isExpected: (status: StatusReport) => boolean,
    ): Promise<StatusReport> {
        for (;;) {
            const address = this.#daemons.get(instance)?.listening["operatorAddress"] ?? "";
            const response = await request(`http://${address}/v1/status`);
            const status = await response.body.json() as StatusReport;
            if (isExpected(status)) {
                return status;
            }
        }
    }

    /** Waits until every daemon has a revision in force. */
    async waitForRevision(revision: number): Promise<void> {
        for (const instance of this.#daemons.keys()) {
            await this.waitForStatus(instance, status => status.configuration?.revision === revision);
        }
    }

    /** Stops everything. */
    async stop(): Promise<void> {
        await Promise.all([this.platform, ...this.#daemons.values()].map(child => child.stop("SIGKILL")));
    }
}
