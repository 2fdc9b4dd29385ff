import { type ChildProcess as NodeChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

interface ListeningLine {
    readonly event: "listening";
    readonly name: string;
    readonly [address: string]: string;
}

/** A process under test that announces its addresses in a JSON line. */
export class ChildProcess {
    readonly #child: NodeChildProcess;
    readonly listening: ListeningLine;

    private constructor(child: NodeChildProcess, listening: ListeningLine) {
        this.#child = child;
        this.listening = listening;
    }

    /**
     * Starts a compiled module and waits until it listens.
     *
     * @param module URL of the compiled module.
     * @throws Error when the process exits before it listens.
     */
    static async create(module: URL, args: readonly string[], logErrors = false): Promise<ChildProcess> {
        const child = spawn(process.execPath, [module.pathname, ...args], {
            stdio: ["ignore", "pipe", logErrors ? "inherit" : "ignore"],
        });
        const lines = createInterface({ input: child.stdout });
        const exited = once(child, "exit").then(([code]) => {
            throw new Error(`${module.pathname} exited with code ${String(code)} before it listened.`);
        });
        const line = await Promise.race([once(lines, "line").then(([text]) => String(text)), exited]);
        exited.catch(() => undefined);
        return new ChildProcess(child, JSON.parse(line) as ListeningLine);
    }

    /** Address of a process with one address. */
    get address(): string {
        return this.listening["address"] ?? this.listening["callerAddress"] ?? "";
    }

    /** Sends a signal. */
    kill(signal: NodeJS.Signals): void {
        this.#child.kill(signal);
    }

    /** Stops the process and waits for its end. Returns the exit code, or `undefined` after a signal. */
    async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        if (this.#child.exitCode !== null || this.#child.signalCode !== null) {
            return this.#child.exitCode ?? undefined;
        }
        const exit = once(this.#child, "exit");
        this.#child.kill(signal);
        const [code] = await exit as [number | null];
        return code ?? undefined;
    }
}
