import type { Configuration } from "../core/configuration/configuration.js";
import type { Arrival } from "../standIns/target/arrival.js";
import type { ResponseFault } from "../standIns/target/responseFault.js";
import type { TargetSample } from "../standIns/target/targetSample.js";
import { ChildProcess } from "./childProcess.js";
import { sendControl } from "./sendControl.js";
import type { TargetSummary } from "./targetSummary.js";

interface FleetTargetsOptions {
    readonly configuration: Configuration;
    readonly engine: object;
    readonly plainService: object;
}

/** The target stand-ins of a fleet. */
export class FleetTargets {
    readonly #processes: ReadonlyMap<string, ChildProcess>;

    private constructor(processes: ReadonlyMap<string, ChildProcess>) {
        this.#processes = processes;
    }

    /** Starts one process for each target of a configuration. */
    static async create(options: FleetTargetsOptions): Promise<FleetTargets> {
        const services = new Map(options.configuration.services.map(service => [service.name, service]));
        const processes = await Promise.all(options.configuration.targets.map(async target => {
            const service = services.get(target.service);
            const plain = service?.kind === "plain";
            const module = plain ? "../standIns/plainService/main.js" : "../standIns/engine/main.js";
            const { name, slotLimit, coldLimit, checksFencing } = target;
            const child = await ChildProcess.create(new URL(module, import.meta.url), [JSON.stringify({
                requestCost: service?.requestCost,
                ...plain ? options.plainService : options.engine,
                name,
                slotLimit,
                coldLimit,
                checksFencing,
            })]);
            return [name, child] as const;
        }));
        return new FleetTargets(new Map(processes));
    }

    /** Names of all targets. */
    get names(): readonly string[] {
        return [...this.#processes.keys()];
    }

    /** Address of a target, host:port. */
    getAddress(name: string): string {
        return this.#find(name).address;
    }

    /** Reads the records of all requests that arrived at a target. */
    readArrivals(name: string): Promise<readonly Arrival[]> {
        return this.#send(name, "GET", "records");
    }

    /** Reads the state of a target at multiples of 250 ms. */
    readSamples(name: string): Promise<readonly TargetSample[]> {
        return this.#send(name, "GET", "samples");
    }

    /** Reads the counts of a target. */
    readSummary(name: string): Promise<TargetSummary> {
        return this.#send(name, "GET", "summary");
    }

    /** Reads the counts of every target. */
    readSummaries(): Promise<readonly TargetSummary[]> {
        return Promise.all(this.names.map(name => this.readSummary(name)));
    }

    /** Injects a fault into the next responses of a target. */
    async injectFault(name: string, fault: ResponseFault): Promise<void> {
        await this.#send(name, "POST", "faults", fault);
    }

    /** Makes a target cold without warning. */
    async setCold(name: string): Promise<void> {
        await this.#send(name, "POST", "cold");
    }

    /** Crashes a target: it resets its connections and starts again cold after `downMs`. */
    async fail(name: string): Promise<void> {
        await this.#send(name, "POST", "fall");
    }

    /** Process of a target, for signals. */
    getProcess(name: string): ChildProcess {
        return this.#find(name);
    }

    /** Ends every target. */
    async close(): Promise<void> {
        await Promise.all([...this.#processes.values()].map(child => child.stop("SIGKILL")));
    }

    #send<T>(name: string, method: "GET" | "POST", path: string, body?: unknown): Promise<T> {
        return sendControl(this.#find(name).listening["controlAddress"] ?? "", method, path, body);
    }

    #find(name: string): ChildProcess {
        const child = this.#processes.get(name);
        if (!child) {
            throw new Error(`There is no target ${name}.`);
        }
        return child;
    }
}
