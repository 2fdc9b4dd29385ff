import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import { CooperativeStore } from "../../standIns/platform/cooperative/cooperativeStore.js";
import { ChildProcess } from "../childProcess.js";
import { buildFleetConfiguration } from "./buildFleetConfiguration.js";
import { buildRouterSettings } from "./buildRouterSettings.js";
import type { CooperativeFleetOptions } from "./cooperativeFleetOptions.js";
import { findPorts } from "./findPorts.js";
import type { FleetInstance } from "./fleetInstance.js";
import type { FleetTarget } from "./fleetTarget.js";
import { FleetTargetGroup } from "./fleetTargetGroup.js";
import { getLoopbackHost } from "./getLoopbackHost.js";
import { Impairments } from "./impairments.js";

/** Period in which the callers' key was revoked, in monotonic milliseconds; `until` is infinite while it lasts. */
interface Revocation {
    readonly from: number;
    readonly until: number;
}

const MAIN = new URL("../../platform/main.js", import.meta.url);
const ENGINE_SLOTS = 16;

/** Router processes on loopback addresses, with stand-ins of the store and of targets behind fault links. */
export class CooperativeFleet {
    readonly store: CooperativeStore;
    readonly instances: FleetInstance[] = [];
    /** What was done to instances, targets, the store and links. */
    readonly impairments = Impairments.create();
    readonly #group: FleetTargetGroup;
    readonly key = "key-of-the-account";
    readonly #options: CooperativeFleetOptions;
    readonly #ports: readonly number[];
    readonly storeLink: FaultLink;
    #version = 1;
    #change: Parameters<CooperativeFleet["publishChange"]>[0] = {};
    #isKeyValid = true;
    #revocations: readonly Revocation[] = [];
    /** Monotonic times in milliseconds at which instances have started or resumed, and know nothing new. */
    readonly instanceStarts: number[] = [];

    private constructor(
        options: CooperativeFleetOptions,
        store: CooperativeStore,
        storeLink: FaultLink,
        ports: readonly number[],
    ) {
        this.#options = options;
        this.store = store;
        this.#group = FleetTargetGroup.create({
            store,
            impairments: this.impairments,
            engineSlots: ENGINE_SLOTS,
            unframedEvery: options.unframedEvery,
        });
        this.storeLink = storeLink;
        this.#ports = ports;
    }

    /** Starts the stand-ins, then one instance after another, each once the previous one listens. */
    static async create(options: CooperativeFleetOptions): Promise<CooperativeFleet> {
        const store = await CooperativeStore.create();
        const link = await FaultLink.create(store.address);
        const fleet = new CooperativeFleet(options, store, link, await findPorts(4));
        for (let i = 0; i < options.engines + options.plainTargets; i += 1) {
            const service = i < options.engines ? "engine" : "plain";
            await fleet.addTarget(service, options.versions?.[i % options.versions.length]);
        }
        fleet.publish();
        const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
        for (let i = 0; i < options.instances; i += 1) {
            const host = getLoopbackHost(i);
            const settingsPath = join(directory, `${host}.json`);
            await writeFile(settingsPath, JSON.stringify(fleet.#buildSettings(host)));
            const process = await fleet.#startProcess(host, settingsPath);
            fleet.instances.push({ host, settingsPath, process, isStarting: false, endImpairments: [] });
            fleet.impairments.mark(host);
        }
        return fleet;
    }

    /** Periods in which the key was revoked, the latest last. */
    get revocations(): readonly Revocation[] {
        return this.#revocations;
    }

    /** Time in milliseconds for which instances may still accept a revoked key. */
    get revocationMs(): number {
        return this.#options.revocationMs;
    }

    /** Time in milliseconds that a stopping instance has before it ends. */
    get stopTimeoutMs(): number {
        return this.#options.stopTimeoutSeconds * 1000;
    }

    /** Returns the URLs of an instance for callers, directory lookups and readiness checks. */
    getUrls(
        instance: FleetInstance,
    ): { readonly callers: string; readonly lookup: string; readonly ready: string; } {
        const [callers, ready, directory] = this.#ports;
        return {
            callers: `http://${instance.host}:${callers}`,
            ready: `http://${instance.host}:${ready}/readiness`,
            lookup: `http://${instance.host}:${directory}/lookup?name=h&region=r&zone=a`,
        };
    }

    /** All targets that were ever started. */
    get targets(): readonly FleetTarget[] {
        return this.#group.targets;
    }

    /** Targets that run, whatever their state. */
    get runningTargets(): readonly FleetTarget[] {
        return this.targets.filter(({ target }) => target.isRunning);
    }

    /** Periods in which targets named request limits, and crashes of targets. */
    get limitedPeriods(): FleetTargetGroup["limitedPeriods"] {
        return this.#group.limitedPeriods;
    }

    get crashes(): FleetTargetGroup["crashes"] {
        return this.#group.crashes;
    }

    /** Starts and registers a target, with a software version that its events name. */
    addTarget(service: FleetTarget["service"], version?: string): Promise<FleetTarget> {
        return this.#group.add(service, version);
    }

    /** Crashes a target, which starts again at once under its identifier with another version. */
    startTargetAgain(entry: FleetTarget, version: string, registrationMs: number): void {
        this.#group.startAgain(entry, version, registrationMs);
    }

    /** Ends a target for good, without a successor. */
    endTarget(entry: FleetTarget): void {
        this.#group.end(entry);
    }

    /** Registers a target again with a state, or removes its registration; one that has crashed stays removed. */
    setRegistration(entry: FleetTarget, state: FleetTarget["registration"]["state"]): void {
        this.#group.setRegistration(entry, state);
    }

    /** Makes the store go back to a copy; the operator and the targets then write again what is in force. */
    recoverStore(copy: ReturnType<CooperativeStore["exportCopy"]>): void {
        this.store.recover(copy);
        this.publish();
        this.targets.forEach(entry => this.setRegistration(entry, entry.registration.state));
    }

    /** Makes a target name a request limit, or none any more if `perSecond` is `undefined`. */
    setLimit(entry: FleetTarget, perSecond: number | undefined): void {
        this.#group.setLimit(entry, perSecond);
    }

    /** Publishes a new version of the configuration with other timeouts, or another service for the safe route. */
    publishChange(
        change: Omit<Parameters<typeof buildFleetConfiguration>[0], "version" | "engineSlots" | "apiKeys">,
    ): void {
        this.#change = change;
        this.publish();
    }

    /** Publishes a new version of the configuration, with or without the key. */
    publish(isKeyValid = this.#isKeyValid): void {
        const last = this.#revocations.at(-1);
        if (this.#isKeyValid && !isKeyValid) {
            this.#revocations = [...this.#revocations, {
                from: performance.now(),
                until: Number.POSITIVE_INFINITY,
            }];
        }
        else if (last && !this.#isKeyValid && isKeyValid) {
            this.#revocations = [...this.#revocations.slice(0, -1), {
                from: last.from,
                until: performance.now(),
            }];
        }
        this.#isKeyValid = isKeyValid;
        this.#version += 1;
        this.store.write(
            "op/config",
            buildFleetConfiguration({
                ...this.#change,
                version: this.#version,
                engineSlots: ENGINE_SLOTS,
                apiKeys: isKeyValid ? [this.key] : [],
            }),
        );
    }

    /** Starts an instance again whose process has ended, or has been killed and is about to end. */
    async startInstance(instance: FleetInstance): Promise<void> {
        instance.isStarting = true;
        try {
            instance.process = await this.#startProcess(instance.host, instance.settingsPath);
        }
        finally {
            instance.isStarting = false;
        }
        instance.endImpairments.splice(0).forEach(end => end());
        this.instanceStarts.push(performance.now());
    }

    /** Starts an instance again unless it runs, or another caller is starting it: ends of one instance may overlap. */
    async ensureInstance(instance: FleetInstance): Promise<void> {
        if (!instance.process.running && !instance.isStarting) {
            await this.startInstance(instance);
        }
    }

    /** Kills instances at once and waits until their processes have ended; they stay impaired until they start. */
    async killInstances(instances: readonly FleetInstance[]): Promise<void> {
        instances.forEach(({ host, endImpairments }) => endImpairments.push(this.impairments.start(host)));
        await Promise.all(instances.map(({ process }) => process.stop("SIGKILL")));
    }

    /** Stops an instance as planned, and waits until its process has ended. */
    async stopInstance({ host, process, endImpairments }: FleetInstance): Promise<void> {
        endImpairments.push(this.impairments.start(`stop ${host}`));
        await process.stop("SIGTERM");
    }

    /** Suspends an instance. Returns the function that resumes it. */
    pauseInstance({ host, process }: FleetInstance): () => void {
        const end = this.impairments.start(host);
        process.kill("SIGSTOP");
        return () => {
            process.kill("SIGCONT");
            end();
            this.instanceStarts.push(performance.now());
        };
    }

    /** Ends all processes and stand-ins. */
    async close(): Promise<void> {
        for (const { process } of this.instances) {
            process.kill("SIGCONT");
            await process.stop("SIGKILL");
        }
        this.#group.close();
        this.storeLink.close();
        this.store.close();
    }

    /** The error of a process that does not start names the last line that it wrote to standard error. */
    #startProcess(host: string, settingsPath: string): Promise<ChildProcess> {
        const { runtimeArguments = [], isOutputRead = true, maxDescriptors } = this.#options;
        return ChildProcess.create(MAIN, [settingsPath], {
            logPath: `${settingsPath}.log`,
            onLine: line => this.#options.onLogLine?.(host, line),
            runtimeArguments,
            isOutputRead,
            maxDescriptors,
        });
    }

    #buildSettings(host: string): object {
        const { address } = this.storeLink.describe() as { readonly address: string; };
        return buildRouterSettings({
            ...this.#options,
            host,
            firstHost: getLoopbackHost(0),
            ports: this.#ports,
            storeAddress: address,
        });
    }
}
