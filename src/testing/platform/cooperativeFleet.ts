import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import { CooperativeStore } from "../../standIns/platform/cooperative/cooperativeStore.js";
import { buildFleetConfiguration } from "./buildFleetConfiguration.js";
import { buildRouterSettings } from "./buildRouterSettings.js";
import type { CooperativeFleetOptions } from "./cooperativeFleetOptions.js";
import { findPorts } from "./findPorts.js";
import type { FleetInstance } from "./fleetInstance.js";
import { FleetInstanceGroup } from "./fleetInstanceGroup.js";
import type { FleetTarget } from "./fleetTarget.js";
import { FleetTargetGroup } from "./fleetTargetGroup.js";
import { getLoopbackHost } from "./getLoopbackHost.js";
import { Impairments } from "./impairments.js";

/** Period in which the callers' key was revoked, in monotonic milliseconds; `until` is infinite while it lasts. */
interface Revocation {
    readonly from: number;
    readonly until: number;
}

/** Port of the metrics page, the same on each machine. */
const METRICS_PORT = 9464;
const ENGINE_SLOTS = 16;

/** Router processes on loopback addresses, with stand-ins of the store and of targets behind fault links. */
export class CooperativeFleet {
    readonly store: CooperativeStore;
    readonly #instances: FleetInstanceGroup;
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
        this.#instances = FleetInstanceGroup.create({
            impairments: this.impairments,
            ports: this.ports,
            stopTimeoutMs: this.stopTimeoutMs,
            processOptions: options,
        });
    }

    /** Starts the stand-ins, then one instance after another, each once the previous one listens. */
    static async create(options: CooperativeFleetOptions): Promise<CooperativeFleet> {
        const store = await CooperativeStore.create();
        const link = await FaultLink.create(store.address);
        const fleet = new CooperativeFleet(options, store, link, await findPorts(5));
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
            await fleet.#instances.add(host, settingsPath);
        }
        return fleet;
    }

    get instances(): readonly FleetInstance[] {
        return this.#instances.instances;
    }

    /** Monotonic times in milliseconds at which instances have started or resumed, and know nothing new. */
    get instanceStarts(): readonly number[] {
        return this.#instances.starts;
    }

    /** Processes that ended without a request, did not start, or did not listen. */
    get processFailures(): FleetInstanceGroup["failures"] {
        return this.#instances.failures;
    }

    /** Ports of an instance: callers, readiness, directory, peers, relayed connections, metrics. */
    get ports(): readonly number[] {
        return [...this.#ports, METRICS_PORT];
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
    startInstance(instance: FleetInstance): Promise<void> {
        return this.#instances.start(instance);
    }

    /** Starts an instance again unless it runs or starts; see `FleetInstanceGroup`. */
    ensureInstance(...args: Parameters<FleetInstanceGroup["ensure"]>): Promise<void> {
        return this.#instances.ensure(...args);
    }

    /** Starts the instances again whose processes have ended by themselves. */
    recoverInstances(): Promise<void> {
        return this.#instances.recover();
    }

    /** Starts the successor of an instance while its process still stops; see `FleetInstanceGroup`. */
    replaceInstance(instance: FleetInstance, delayMs: number): Promise<void> {
        return this.#instances.replace(instance, delayMs);
    }

    /** Kills instances at once and waits until their processes have ended; they stay impaired until they start. */
    killInstances(instances: readonly FleetInstance[]): Promise<void> {
        return this.#instances.kill(instances);
    }

    /** Stops an instance as planned, and waits until its process has ended. */
    stopInstance(instance: FleetInstance, signal?: NodeJS.Signals): Promise<void> {
        return this.#instances.stop(instance, signal);
    }

    /** Suspends an instance. Returns the function that resumes it. */
    pauseInstance(instance: FleetInstance): () => void {
        return this.#instances.pause(instance);
    }

    /** Ends all processes and stand-ins. */
    async close(): Promise<void> {
        await this.#instances.close();
        this.#group.close();
        this.storeLink.close();
        this.store.close();
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
