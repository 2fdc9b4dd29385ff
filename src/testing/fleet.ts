import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { buildBundle } from "../core/configuration/buildBundle.js";
import type { Configuration } from "../core/configuration/configuration.js";
import { configurationSchema } from "../core/configuration/configurationSchema.js";
import { hashText } from "../shared/hashText.js";
import { ChildProcess } from "./childProcess.js";
import { createFleetLinks } from "./createFleetLinks.js";
import type { FleetOptions } from "./fleetOptions.js";
import type { FleetParts } from "./fleetParts.js";
import { FleetPlatform } from "./fleetPlatform.js";
import { FleetTargets } from "./fleetTargets.js";
import { isServing } from "./isServing.js";
import { parseMetrics } from "./parseMetrics.js";
import { waitUntil } from "./waitUntil.js";

/** Fleet of separate processes on the loopback address: platform, targets and daemons. */
export class Fleet {
    readonly #parts: FleetParts;
    readonly #daemons = new Map<string, ChildProcess>();
    readonly #leaving = new Set<string>();
    #configuration: Configuration;
    #revision = 0;
    #listRevision = 0;

    private constructor(parts: FleetParts) {
        this.#parts = parts;
        this.#configuration = parts.configuration;
    }

    /** Starts every process, publishes the configuration and waits until every daemon serves callers. */
    static async create(options: FleetOptions): Promise<Fleet> {
        const template = configurationSchema.parse(options.configuration);
        const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
        const platform = await FleetPlatform.create();
        const targets = await FleetTargets.create({
            configuration: template,
            engine: options.engine ?? {},
            plainService: options.plainService ?? {},
        });
        const links = options.proxied
            ? await createFleetLinks(options, template, targets, platform.address)
            : undefined;
        const configuration = {
            ...template,
            targets: template.targets.map(target => ({
                ...target,
                url: `http://${links?.getPublishedAddress(target.name) ?? targets.getAddress(target.name)}`,
            })),
        };
        const fleet = new Fleet({ options, directory, platform, targets, links, configuration });
        try {
            await fleet.publishConfiguration(current => current);
            await Promise.all(Object.keys(options.instances).map(name => fleet.#startDaemon(name)));
            await fleet.publishInstances();
            await fleet.waitUntilServing();
        }
        catch (error) {
            await fleet.close();
            throw error;
        }
        return fleet;
    }

    get targets(): FleetTargets {
        return this.#parts.targets;
    }

    get platform(): FleetPlatform {
        return this.#parts.platform;
    }

    /** Links of the fault proxy; throws for a fleet without one. */
    get links(): NonNullable<FleetParts["links"]> {
        if (!this.#parts.links) {
            throw new Error("The fleet was created without `proxied`.");
        }
        return this.#parts.links;
    }

    /** Latest configuration that was published. */
    get configuration(): Configuration {
        return this.#configuration;
    }

    /** Revision of the latest bundle that was published. */
    get revision(): number {
        return this.#revision;
    }

    /** Names of the daemons whose process runs. */
    get daemons(): readonly string[] {
        return [...this.#daemons].filter(([, child]) => child.running).map(([name]) => name);
    }

    /** Caller addresses of the running daemons. */
    get entries(): readonly string[] {
        return this.daemons.map(name => this.getDaemon(name).address);
    }

    /** Process of a daemon. */
    getDaemon(name: string): ChildProcess {
        const child = this.#daemons.get(name);
        if (!child) {
            throw new Error(`There is no daemon ${name}.`);
        }
        return child;
    }

    /** Publishes a changed configuration as the next bundle and returns its revision. */
    async publishConfiguration(change: (current: Configuration) => Configuration): Promise<number> {
        this.#configuration = configurationSchema.parse(change(this.#configuration));
        this.#revision += 1;
        await this.platform.publish(
            "configuration",
            buildBundle(this.#configuration, this.#revision, hashText),
        );
        return this.#revision;
    }

    /** Takes a data centre or a target out of service, or back in, and returns the published revision. */
    setInService(kind: "dataCentres" | "targets", name: string, inService: boolean): Promise<number> {
        return this.publishConfiguration(current => ({
            ...current,
            [kind]: current[kind].map(object => object.name === name ? { ...object, inService } : object),
        }));
    }

    /** Publishes the list of running instances; `killDaemon` leaves it as it is, since a real list lags behind. */
    async publishInstances(): Promise<void> {
        this.#listRevision += 1;
        await this.platform.publish("instances", {
            revision: this.#listRevision,
            instances: this.daemons.map(name => {
                const { listening, address } = this.getDaemon(name);
                return {
                    name,
                    dataCentre: this.#parts.options.instances[name],
                    callerAddress: address,
                    peerAddress: this.#parts.links?.getPublishedAddress(name) ?? listening["peerAddress"]
                        ?? "",
                    operatorAddress: listening["operatorAddress"] ?? "",
                    relayAddress: listening["relayAddress"],
                    state: this.#leaving.has(name) ? "leaving" : "live",
                };
            }),
        });
    }

    /** Kills a daemon. The platform's list keeps it until `publishInstances`. */
    async killDaemon(name: string): Promise<void> {
        await this.getDaemon(name).stop("SIGKILL");
    }

    /** Stops a daemon gracefully and returns its exit code; the list shows it as leaving, then not at all. */
    async stopDaemon(name: string): Promise<number | undefined> {
        this.#leaving.add(name);
        const exit = this.getDaemon(name).stop("SIGTERM");
        await this.publishInstances();
        const code = await exit;
        this.#leaving.delete(name);
        await this.publishInstances();
        return code;
    }

    /** Starts a daemon again under its name, with new addresses, and publishes the list. */
    async replaceDaemon(name: string): Promise<void> {
        await this.spawnDaemon(name);
        await this.publishInstances();
    }

    /** Starts a daemon again under its name, with new addresses, while the platform's list stays as it is. */
    async spawnDaemon(name: string, settings: object = {}): Promise<void> {
        await this.getDaemon(name).stop("SIGKILL");
        await this.#startDaemon(name, settings);
    }

    /** Stops (SIGSTOP) or continues (SIGCONT) the process of a daemon. */
    setFrozen(name: string, frozen: boolean): void {
        this.getDaemon(name).kill(frozen ? "SIGSTOP" : "SIGCONT");
    }

    /** Cuts two groups of daemons and targets off from each other, as a network partition does. */
    async splitNetwork(a: readonly string[], b: readonly string[]): Promise<void> {
        await this.links.setFault(this.links.listBetween(a, b), { mode: "halfOpen" });
    }

    /** Names of the daemons and targets of a region. */
    listRegion(region: string): readonly string[] {
        const dataCentres = new Set(
            this.#configuration.dataCentres.filter(centre => centre.region === region).map(centre =>
                centre.name
            ),
        );
        return [
            ...Object.entries(this.#parts.options.instances).filter(([, centre]) => dataCentres.has(centre))
                .map(([name]) => name),
            ...this.#configuration.targets.filter(target => dataCentres.has(target.dataCentre))
                .map(target => target.name),
        ];
    }

    /** Sums a metric of a daemon over all label values that match; `undefined` if it cannot be read. */
    async readMetric(
        daemon: string,
        name: string,
        labels: Readonly<Record<string, string>> = {},
    ): Promise<number | undefined> {
        const page = await this.readOperator(daemon, "/metrics");
        return page === undefined ? undefined : parseMetrics(page)
            .filter(sample =>
                sample.name === name
                && Object.entries(labels).every(([label, value]) => sample.labels[label] === value)
            )
            .reduce((sum, sample) => sum + sample.value, 0);
    }

    /** Reads a page of a daemon's operator address; `undefined` if there is no response. */
    async readOperator(daemon: string, path: string): Promise<string | undefined> {
        const address = this.getDaemon(daemon).listening["operatorAddress"];
        if (address === undefined || !this.getDaemon(daemon).running) {
            return undefined;
        }
        try {
            const response = await request(`http://${address}${path}`, { headersTimeout: 2_000 });
            return await response.body.text();
        }
        catch {
            return undefined;
        }
    }

    /** Waits until every running daemon has a configuration and lists at least one entry. */
    async waitUntilServing(timeoutMs = 20_000): Promise<void> {
        await waitUntil("every daemon serves callers", async () => {
            const results = await Promise.all(this.entries.map(isServing));
            return results.every(Boolean);
        }, timeoutMs);
    }

    /** Kills every process and removes the daemons' settings files. */
    async close(): Promise<void> {
        await Promise.all([...this.#daemons.values()].map(child => child.stop("SIGKILL")));
        await this.#parts.targets.close();
        await this.#parts.links?.close();
        await this.#parts.platform.close();
        await rm(this.#parts.directory, { recursive: true, force: true });
    }

    async #startDaemon(name: string, extraSettings: object = {}): Promise<void> {
        const { options, directory, links, platform } = this.#parts;
        const path = join(directory, `${name}.json`);
        const settings = {
            instance: name,
            dataCentre: options.instances[name],
            callerAddress: "127.0.0.1:0",
            peerAddress: "127.0.0.1:0",
            operatorAddress: "127.0.0.1:0",
            platformUrl: `http://${links?.getPlatformAddress(name) ?? platform.address}`,
            ...links ? { addressMap: links.buildAddressMap(name) } : {},
            ...options.daemon,
            ...extraSettings,
        };
        await writeFile(path, JSON.stringify(settings));
        const child = await ChildProcess.create(
            new URL("../daemon/main.js", import.meta.url),
            ["--settings", path],
            options.logDirectory === undefined ? {} : { logPath: join(options.logDirectory, `${name}.log`) },
        );
        this.#daemons.set(name, child);
        await links?.setPeerAddress(name, child.listening["peerAddress"] ?? "");
    }
}
