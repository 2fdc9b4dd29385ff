import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FaultLink } from "../../standIns/faultProxy/faultLink.js";
import { CooperativeStore } from "../../standIns/platform/cooperative/cooperativeStore.js";
import { CooperativeTarget } from "../../standIns/platform/cooperative/cooperativeTarget.js";
import { ChildProcess } from "../childProcess.js";
import { buildFleetConfiguration } from "./buildFleetConfiguration.js";
import { buildRouterSettings } from "./buildRouterSettings.js";
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

/** Crash of a target on a request with a body, at a monotonic time in milliseconds. */
interface TargetCrash {
    readonly body: string;
    readonly at: number;
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
/** Targets crash on requests whose body begins with this text. */
const CRASHING_BODY = "crashing";
const TARGET_RESTART_MS = 1500;
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
    readonly crashes: TargetCrash[] = [];
    /** Monotonic times in milliseconds at which instances have started or resumed, and know nothing new. */
    readonly instanceStarts: number[] = [];
    #isClosed = false;

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
            isCrashedBy: ({ body }) => body.startsWith(CRASHING_BODY),
            onCrash: body => this.#replaceTarget(target, body),
        });
        const link = await FaultLink.create(target.address);
        const { address } = link.describe() as { readonly address: string; };
        const registration = { state: "ready", sequence: 0 } as const;
        const entry: FleetTarget = { target, link, address, registration };
        this.targets.push(entry);
        this.setRegistration(entry, "ready");
        return entry;
    }

    /** Records the crash of a target; its successor gets another identifier and address. */
    #replaceTarget(target: CooperativeTarget, body: string): void {
        const entry = this.targets.find(other => other.target === target);
        if (!entry) {
            return;
        }
        this.crashes.push({ body, at: performance.now() });
        entry.link.close();
        setTimeout(() => {
            if (!this.#isClosed) {
                this.setRegistration(entry, "removed");
                void this.addTarget(target.service as "engine" | "plain");
            }
        }, TARGET_RESTART_MS);
    }

    /** Registers a target again with a state, or removes its registration; one that has crashed stays removed. */
    setRegistration(entry: FleetTarget, state: FleetTarget["registration"]["state"]): void {
        const { target, address } = entry;
        const sequence = entry.registration.sequence + 1;
        entry.registration = { state, sequence };
        if (state === "removed" || !target.isRunning) {
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
        this.store.write(
            "op/config",
            buildFleetConfiguration(this.#version, ENGINE_SLOTS, isKeyValid ? [this.key] : []),
        );
    }

    /** Restarts an instance whose process has ended. */
    async startInstance(instance: FleetInstance): Promise<void> {
        instance.process = await ChildProcess.create(MAIN, [instance.settingsPath]);
        this.instanceStarts.push(performance.now());
    }

    /** Resumes a suspended instance. */
    resumeInstance({ process }: FleetInstance): void {
        process.kill("SIGCONT");
        this.instanceStarts.push(performance.now());
    }

    /** Ends all processes and stand-ins. */
    async close(): Promise<void> {
        this.#isClosed = true;
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
        const { address } = this.storeLink.describe() as { readonly address: string; };
        return buildRouterSettings({
            ...this.#options,
            host,
            firstHost: `127.0.0.${FIRST_HOST_BYTE}`,
            ports: this.#ports,
            storeAddress: address,
        });
    }
}
