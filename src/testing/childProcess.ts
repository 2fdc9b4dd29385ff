import { type ChildProcess as NodeChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { openSync, readFileSync } from "node:fs";
import { createInterface, type Interface } from "node:readline";
import { fileURLToPath } from "node:url";

interface ListeningLine {
    readonly event: "listening";
    readonly name: string;
    readonly [address: string]: string;
}

/** How a process ended; one of the values is `null`. */
interface ProcessEnd {
    readonly code: number | null;
    readonly signal: NodeJS.Signals | null;
}

interface ChildProcessOptions {
    /** File that gets the standard error of the process. @default discarded */
    readonly logPath?: string;
    /** Called with each line of the standard output. */
    readonly onLine?: (line: string) => void;
    /** Arguments of Node.js itself. @default none */
    readonly runtimeArguments?: readonly string[];
    /** Whether the standard output is read after the first line. @default true */
    readonly isOutputRead?: boolean;
    /** Limit of open descriptors that the operating system sets. @default that of this process */
    readonly maxDescriptors?: number | undefined;
}

const END_WITH_PARENT = new URL("endWithParent.js", import.meta.url).href;
const runningChildren = new Set<NodeChildProcess>();

/** Child process that prints its addresses as a JSON line when it listens. It never outlives this process. */
export class ChildProcess {
    readonly #child: NodeChildProcess;
    readonly #signals: NodeJS.Signals[] = [];
    readonly listening: ListeningLine;
    /** Fulfilled when the process has ended. */
    readonly ended: Promise<ProcessEnd>;

    private constructor(child: NodeChildProcess, listening: ListeningLine, ended: Promise<ProcessEnd>) {
        this.#child = child;
        this.listening = listening;
        this.ended = ended;
    }

    /**
     * Starts a compiled module and waits until it listens.
     *
     * @param module URL of the compiled module.
     * @throws Error when the process exits before it listens; it names the last line of the log, if there is one.
     */
    static async create(
        module: URL,
        args: readonly string[],
        options: ChildProcessOptions = {},
    ): Promise<ChildProcess> {
        const path = fileURLToPath(module);
        const { runtimeArguments = [], isOutputRead = true, maxDescriptors } = options;
        const command = [process.execPath, ...runtimeArguments, "--import", END_WITH_PARENT, path, ...args];
        const [file = "", ...rest] = maxDescriptors === undefined
            ? command
            : ["sh", "-c", `ulimit -n ${maxDescriptors} && exec "$@"`, "sh", ...command];
        const child = spawn(file, rest, {
            stdio: ["ignore", "pipe", options.logPath ? openSync(options.logPath, "a") : "ignore"],
        });
        trackChild(child);
        const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
        lines.on("line", text => options.onLine?.(text));
        const ended = once(child, "exit").then(([code, signal]): ProcessEnd => ({ code, signal }));
        const exited = ended.then(({ code }) => {
            const reason = options.logPath ? readLastLine(options.logPath) : "";
            throw new Error(
                `${path} exited with code ${String(code)} before it listened. ${reason}`.trimEnd(),
            );
        });
        const line = await Promise.race([readListeningLine(lines), exited]);
        exited.catch(() => undefined);
        if (!isOutputRead) {
            lines.close();
            child.stdout?.pause();
        }
        return new ChildProcess(child, JSON.parse(line) as ListeningLine, ended);
    }

    /** Address (host:port) of a process that has only one, or its caller address. */
    get address(): string {
        return this.listening["address"] ?? this.listening["callerAddress"] ?? "";
    }

    /** Process id. */
    get pid(): number {
        return this.#child.pid ?? 0;
    }

    /** False after the process has ended. */
    get running(): boolean {
        return this.#child.exitCode === null && this.#child.signalCode === null;
    }

    /** Signals that were sent to the process with the methods of this class. */
    get signals(): readonly NodeJS.Signals[] {
        return this.#signals;
    }

    /** Sends a signal. */
    kill(signal: NodeJS.Signals): void {
        this.#signals.push(signal);
        this.#child.kill(signal);
    }

    /** Signals the process and waits until it exits. Returns the exit code; `undefined` if a signal ended it. */
    async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        if (!this.running) {
            return this.#child.exitCode ?? undefined;
        }
        this.kill(signal);
        const { code } = await this.ended;
        return code ?? undefined;
    }
}

/** Skips the lines that a process writes before it listens, such as those about ports that are in use. */
function readListeningLine(lines: Interface): Promise<string> {
    return new Promise(resolve => {
        const onLine = (line: string): void => {
            if (line.includes(`"event":"listening"`)) {
                lines.off("line", onLine);
                resolve(line);
            }
        };
        lines.on("line", onLine);
    });
}

function readLastLine(path: string): string {
    return readFileSync(path, "utf8").trimEnd().split("\n").at(-1) ?? "";
}

function trackChild(child: NodeChildProcess): void {
    if (runningChildren.size === 0 && process.listenerCount("SIGINT", killAndExit) === 0) {
        process.on("exit", killChildren);
        process.on("SIGINT", killAndExit);
        process.on("SIGTERM", killAndExit);
    }
    runningChildren.add(child);
    child.once("exit", () => runningChildren.delete(child));
}

function killChildren(): void {
    for (const child of runningChildren) {
        child.kill("SIGKILL");
    }
}

function killAndExit(): void {
    killChildren();
    process.exit(1);
}
