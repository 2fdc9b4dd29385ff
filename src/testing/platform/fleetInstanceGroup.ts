import { readFileSync } from "node:fs";
import { ChildProcess } from "../childProcess.js";
import { waitUntil } from "../waitUntil.js";
import type { CooperativeFleetOptions } from "./cooperativeFleetOptions.js";
import { describeUnexpectedEnd } from "./describeUnexpectedEnd.js";
import type { FleetInstance } from "./fleetInstance.js";
import type { Impairments } from "./impairments.js";
import { isListening } from "./isListening.js";

interface FleetInstanceGroupOptions {
    readonly impairments: Impairments;
    /** Ports on which each instance listens; the fourth one takes datagrams, too. */
    readonly ports: readonly number[];
    readonly stopTimeoutMs: number;
    readonly processOptions: CooperativeFleetOptions;
}

/** Process that ended without a request, ended a stop with an error, did not start, or did not listen. */
interface ProcessFailure {
    readonly host: string;
    readonly text: string;
}

const MAIN = new URL("../../platform/main.js", import.meta.url);
const PEER_PORT_INDEX = 3;
const MAX_START_TRIES = 20;
const START_RETRY_MS = 200;
/** Time after the end of the stop timeout in which a process ends; faults may suspend it meanwhile. */
const STOP_SLACK_MS = 15_000;
/** Longest time in which a process that has all its ports begins to listen. */
const LISTEN_TIMEOUT_MS = 15_000;

/** Router processes of a test fleet, with the record of those that ended by themselves or did not start. */
export class FleetInstanceGroup {
    readonly instances: FleetInstance[] = [];
    /** Monotonic times in milliseconds at which instances have started or resumed. */
    readonly starts: number[] = [];
    readonly failures: ProcessFailure[] = [];
    readonly #options: FleetInstanceGroupOptions;
    /** Processes that ended by themselves, or whose stops failed. */
    readonly #failed = new Set<ChildProcess>();

    private constructor(options: FleetInstanceGroupOptions) {
        this.#options = options;
    }

    /** Creates a group without instances. */
    static create(options: FleetInstanceGroupOptions): FleetInstanceGroup {
        return new FleetInstanceGroup(options);
    }

    /**
     * Starts a new instance.
     *
     * @throws Error when its process ends before it has written a line.
     */
    async add(host: string, settingsPath: string): Promise<void> {
        const process = await this.#startProcess(host, settingsPath);
        this.instances.push({
            host,
            settingsPath,
            process,
            predecessors: [],
            isStarting: false,
            endImpairments: [],
        });
        this.#options.impairments.mark(host);
    }

    /**
     * Starts an instance again whose process has ended, or has been killed and is about to end.
     *
     * @throws Error when its process ends before it has written a line.
     */
    async start(instance: FleetInstance): Promise<void> {
        instance.isStarting = true;
        try {
            instance.process = await this.#startProcess(instance.host, instance.settingsPath);
        }
        finally {
            instance.isStarting = false;
        }
        this.#finishStart(instance);
    }

    /**
     * Starts an instance again unless it runs, or another caller is starting it: ends of one instance may overlap. A start that
     * fails is recorded and tried again. The instance stays impaired until it listens.
     *
     * @param takePorts Takes ports of the instance before the start. `freed` is fulfilled when it holds none any more.
     * @throws Error when each try fails.
     */
    async ensure(
        instance: FleetInstance,
        takePorts?: () => Promise<{ readonly freed: Promise<unknown>; }>,
    ): Promise<void> {
        if (instance.process.running || instance.isStarting) {
            return;
        }
        instance.isStarting = true;
        try {
            const holder = await takePorts?.();
            for (let i = 0; !instance.process.running && i < MAX_START_TRIES; i += 1) {
                // Another caller may stop or kill the new process before it listens, and leave its start to this one.
                instance.process = await this.#startAgain(instance);
                await holder?.freed;
                await this.#waitUntilListening(instance);
            }
        }
        finally {
            instance.isStarting = false;
        }
        this.#finishStart(instance);
    }

    /** Asks the process of an instance to stop, and starts its successor after a delay, whether or not it has ended. */
    async replace(instance: FleetInstance, delayMs: number): Promise<void> {
        const { process, predecessors } = instance;
        if (!process.running || instance.isStarting) {
            return;
        }
        instance.isStarting = true;
        try {
            predecessors.push(process);
            const stopped = this.stop(instance);
            await new Promise(resolve => setTimeout(resolve, delayMs));
            instance.process = await this.#startAgain(instance);
            await stopped;
            predecessors.splice(predecessors.indexOf(process), 1);
            await this.#waitUntilListening(instance);
        }
        finally {
            instance.isStarting = false;
        }
        if (instance.process.running) {
            this.#finishStart(instance);
            return;
        }
        // The successor has ended by itself, which is recorded, or has been killed by another caller.
        await this.ensure(instance);
    }

    /** Starts the instances again whose processes have ended by themselves. */
    async recover(): Promise<void> {
        const ended = this.instances.filter(({ process }) => this.#failed.has(process));
        await Promise.all(ended.map(instance => this.ensure(instance)));
    }

    /** Kills instances at once and waits until their processes have ended; they stay impaired until they start. */
    async kill(instances: readonly FleetInstance[]): Promise<void> {
        const { impairments } = this.#options;
        instances.forEach(({ host, endImpairments }) =>
            endImpairments.push(impairments.start(host, "killed"))
        );
        await Promise.all(
            instances.flatMap(({ process, predecessors }) => [process, ...predecessors])
                .map(process => process.stop("SIGKILL")),
        );
    }

    /** Stops an instance as planned, and waits until its process has ended. One that goes on is killed, and recorded. */
    async stop(
        { host, process, endImpairments }: FleetInstance,
        signal: NodeJS.Signals = "SIGTERM",
    ): Promise<void> {
        const { impairments, stopTimeoutMs } = this.#options;
        endImpairments.push(impairments.start(`stop ${host}`));
        const late = setTimeout(() => {
            this.failures.push({ host, text: `the process still runs long after ${signal}` });
            process.kill("SIGKILL");
        }, stopTimeoutMs + STOP_SLACK_MS);
        await process.stop(signal);
        clearTimeout(late);
        endImpairments.push(impairments.start(`ended ${host}`));
    }

    /** Suspends an instance. Returns the function that resumes it. */
    pause({ host, process }: FleetInstance): () => void {
        const end = this.#options.impairments.start(host, "paused");
        process.kill("SIGSTOP");
        return () => {
            process.kill("SIGCONT");
            end();
            this.starts.push(performance.now());
        };
    }

    /** Kills all processes. */
    async close(): Promise<void> {
        for (const process of this.instances.flatMap(other => [other.process, ...other.predecessors])) {
            process.kill("SIGCONT");
            await process.stop("SIGKILL");
        }
    }

    #finishStart({ endImpairments }: FleetInstance): void {
        endImpairments.splice(0).forEach(end => end());
        this.starts.push(performance.now());
    }

    async #startAgain({ host, settingsPath }: FleetInstance): Promise<ChildProcess> {
        for (let i = 1; i < MAX_START_TRIES; i += 1) {
            try {
                return await this.#startProcess(host, settingsPath);
            }
            catch (error) {
                this.failures.push({ host, text: `did not start: ${String(error)}` });
            }
            await new Promise(resolve => setTimeout(resolve, START_RETRY_MS));
        }
        return this.#startProcess(host, settingsPath);
    }

    /** Waits until the process has all its ports, or has ended. Records a failure if it has neither after a while. */
    async #waitUntilListening({ host, process }: FleetInstance): Promise<void> {
        const { ports } = this.#options;
        const isUp = async (protocol: "tcp" | "udp", port: number): Promise<boolean> =>
            !process.running || await isListening(protocol, host, port);
        try {
            for (const port of ports) {
                await waitUntil(`no listener on port ${port}`, () => isUp("tcp", port), LISTEN_TIMEOUT_MS);
            }
            const port = ports[PEER_PORT_INDEX] ?? 0;
            await waitUntil(`no datagrams on port ${port}`, () => isUp("udp", port), LISTEN_TIMEOUT_MS);
        }
        catch (error) {
            this.failures.push({ host, text: String(error) });
        }
    }

    /** The error of a process that does not start names the last line that it wrote to standard error. */
    async #startProcess(host: string, settingsPath: string): Promise<ChildProcess> {
        const { onLogLine, runtimeArguments = [], isOutputRead = true, maxDescriptors } =
            this.#options.processOptions;
        const logPath = `${settingsPath}.log`;
        let lastLine = "";
        const onLine = (line: string): void => {
            lastLine = line;
            onLogLine?.(host, line);
        };
        const process = await ChildProcess.create(MAIN, [settingsPath], {
            logPath,
            onLine,
            runtimeArguments,
            isOutputRead,
            maxDescriptors,
        });
        void process.ended.then(end => {
            const text = describeUnexpectedEnd(process.signals, end);
            if (text) {
                this.#failed.add(process);
                const errorLine = readFileSync(logPath, "utf8").trimEnd().split("\n").at(-1) ?? "";
                this.failures.push({
                    host,
                    text: `${text}; last lines: ${[lastLine, errorLine].filter(Boolean).join(" ")}`,
                });
            }
        });
        return process;
    }
}
