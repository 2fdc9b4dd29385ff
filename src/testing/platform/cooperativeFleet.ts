import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import { CooperativeStore } from "../../standIns/platform/cooperative/cooperativeStore.js";
import { CooperativeTarget } from "../../standIns/platform/cooperative/cooperativeTarget.js";
import { ChildProcess } from "../childProcess.js";
import { findPorts } from "./findPorts.js";

interface CooperativeFleetOptions {
    readonly instances: number;
    readonly engines: number;
    readonly plainTargets: number;
    /** Time in milliseconds for which keys are accepted without a new confirmation. */
    readonly revocationMs: number;
    readonly stopTimeoutSeconds: number;
}

interface FleetInstance {
    readonly host: string;
    readonly settingsPath: string;
    process: ChildProcess;
}

/** Period in which the callers' key was revoked, in monotonic milliseconds; `until` is infinite while it lasts. */
interface Revocation {
    readonly from: number;
    readonly until: number;
}

interface FleetTarget {
    readonly target: CooperativeTarget;
    readonly link: FaultLink;
    readonly address: string;
    /** Newest report of the target to the store. */
    registration: { readonly state: "ready" | "draining" | "removed"; readonly sequence: number; };
}

/** Period in which a target named a request limit, in monotonic milliseconds. */
interface LimitedPeriod {
    readonly target: CooperativeTarget;
    readonly perSecond: number;
    readonly from: number;
    readonly until: number;
}

const MAIN = new URL("../../platform/main.js", import.meta.url);
/** Last byte of the first instance's loopback address; other tests use the addresses below it. */
const FIRST_HOST_BYTE = 11;
const ENGINE_EVENTS = 12;
const EVENT_MS = 10;
const ENGINE_SLOTS = 16;

/** Router processes on loopback addresses, with stand-ins of the store and of targets behind fault links. */
export class CooperativeFleet {
    readonly store: CooperativeStore;
    readonly instances: FleetInstance[] = [];
    readonly targets: FleetTarget[] = [];
    readonly key = "key-of-the-account";
    readonly #options: CooperativeFleetOptions;
    readonly #ports: readonly number[];
    readonly storeLink: FaultLink;
    #version = 1;
    #isKeyValid = true;
    #revocations: readonly Revocation[] = [];
    readonly limitedPeriods: LimitedPeriod[] = [];

    private constructor(
        options: CooperativeFleetOptions,
        store: CooperativeStore,
        storeLink: FaultLink,
        ports: readonly number[],
    ) {
        this.#options = options;
        this.store = store;
        this.storeLink = storeLink;
        this.#ports = ports;
    }

    /** Starts the stand-ins, then one instance after another, each once the previous one listens. */
    static async create(options: CooperativeFleetOptions): Promise<CooperativeFleet> {
        const store = await CooperativeStore.create();
        const link = await FaultLink.create(store.address);
        const fleet = new CooperativeFleet(options, store, link, await findPorts(4));
        for (let i = 0; i < options.engines + options.plainTargets; i += 1) {
            await fleet.addTarget(i < options.engines ? "engine" : "plain");
        }
        fleet.publish();
        const directory = await mkdtemp(join(tmpdir(), "baobabspread-"));
        for (let i = 0; i < options.instances; i += 1) {
            const host = `127.0.0.${FIRST_HOST_BYTE + i}`;
            const settingsPath = join(directory, `${host}.json`);
            await writeFile(settingsPath, JSON.stringify(fleet.#buildSettings(host)));
            fleet.instances.push({
                host,
                settingsPath,
                process: await ChildProcess.create(MAIN, [settingsPath]),
            });
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

    /** Starts and registers a target. */
    async addTarget(service: "engine" | "plain"): Promise<FleetTarget> {
        const target = await CooperativeTarget.create({
            id: `i-${this.targets.length}`,
            service,
            dataCentre: "a",
            slots: service === "engine" ? ENGINE_SLOTS : 6,
            events: ENGINE_EVENTS,
            eventMs: EVENT_MS,
        });
        const link = await FaultLink.create(target.address);
        const { address } = link.describe() as { readonly address: string; };
        const registration = { state: "ready", sequence: 0 } as const;
        const entry: FleetTarget = { target, link, address, registration };
        this.targets.push(entry);
        this.setRegistration(entry, "ready");
        return entry;
    }

    /** Registers a target again with a state, or removes its registration. */
    setRegistration(entry: FleetTarget, state: FleetTarget["registration"]["state"]): void {
        const { target, address } = entry;
        const sequence = entry.registration.sequence + 1;
        entry.registration = { state, sequence };
        if (state === "removed") {
            this.store.remove(`servers/${target.id}`);
            return;
        }
        this.store.write(`servers/${target.id}`, target.describe(address, state, sequence));
    }

    /** Makes the store go back to a copy; the operator and the targets then write again what is in force. */
    recoverStore(copy: ReturnType<CooperativeStore["exportCopy"]>): void {
        this.store.recover(copy);
        this.publish();
        this.targets.forEach(entry => this.setRegistration(entry, entry.registration.state));
    }

    /** Makes a target name a request limit, or none any more if `perSecond` is `undefined`. */
    setLimit({ target }: FleetTarget, perSecond: number | undefined): void {
        const now = performance.now();
        const last = this.limitedPeriods.findLastIndex(period => period.target === target);
        const period = this.limitedPeriods[last];
        if (period && period.until > now) {
            this.limitedPeriods[last] = { ...period, until: now };
        }
        if (perSecond !== undefined) {
            this.limitedPeriods.push({ target, perSecond, from: now, until: Number.POSITIVE_INFINITY });
        }
        target.setHeader("Server-Limit", ...perSecond === undefined ? [] : [String(perSecond)]);
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
        const stream = {
            host: "h",
            kind: "streaming",
            timeoutMs: 5000,
            targetLatencyMs: 500,
            service: "engine",
        };
        const plain = { host: "h", timeoutMs: 1000, targetLatencyMs: 200, service: "plain", public: true };
        this.store.write("op/config", {
            version: this.#version,
            routes: [
                { ...stream, name: "stream", pathPrefix: "/stream/", maxAttempts: 3, resumable: true },
                { ...stream, name: "once", pathPrefix: "/once/", maxAttempts: 1, resumable: false },
                { ...plain, name: "safe", pathPrefix: "/safe/", kind: "safe", maxAttempts: 2 },
                { ...plain, name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe", maxAttempts: 2 },
            ],
            services: [
                { name: "engine", engine: { slots: ENGINE_SLOTS, kvTokens: 100_000 } },
                { name: "plain" },
            ],
            limits: { idleTimeoutMs: 15_000, maxBodyBytes: 65_536 },
            tenants: [{ name: "account", apiKeys: isKeyValid ? [this.key] : [] }],
        });
    }

    /** Restarts an instance whose process has ended. */
    async startInstance(instance: FleetInstance): Promise<void> {
        instance.process = await ChildProcess.create(MAIN, [instance.settingsPath]);
    }

    /** Ends all processes and stand-ins. */
    async close(): Promise<void> {
        for (const { process } of this.instances) {
            process.kill("SIGCONT");
            await process.stop("SIGKILL");
        }
        for (const { target, link } of this.targets) {
            link.close();
            target.close();
        }
        this.storeLink.close();
        this.store.close();
    }

    #buildSettings(host: string): object {
        const [callers, ready, directory, peers] = this.#ports;
        const { address } = this.storeLink.describe() as { readonly address: string; };
        return {
            instance: `instance-${host}`,
            dataCentre: "a",
            region: "r",
            dataCentres: { a: "r" },
            callerAddress: `${host}:${callers}`,
            readinessAddress: `${host}:${ready}`,
            directoryAddress: `${host}:${directory}`,
            host,
            peerPort: peers,
            seedAddresses: [`127.0.0.${FIRST_HOST_BYTE}:1`],
            storeAddress: address,
            processorShare: 1,
            processorSpeed: 1,
            memoryMb: 256,
            stopTimeoutSeconds: this.#options.stopTimeoutSeconds,
            strictRevocation: true,
            revocationMs: this.#options.revocationMs,
            catchUpMs: 4000,
            targetChangeMs: 4000,
            configurationChangeMs: 4000,
            retryRatio: 4,
            retryWindowSeconds: 10,
            coldFactor: 1,
            coldSlack: 5,
            maxAddressTermSeconds: 5,
        };
    }
}
