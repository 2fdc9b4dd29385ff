import { ChildProcess } from "../testing/childProcess.js";
import { sendControl } from "../testing/sendControl.js";
import type { LoadOrder } from "./loadOrder.js";

interface LoadSum {
    readonly completedPerSecond: number;
    readonly failed: number;
    /** Highest fraction of a core that a worker used; near 1 the workers are the bottleneck. */
    readonly generatorCoreShare: number;
}

interface WorkerResult {
    readonly completed: number;
    readonly failed: number;
    readonly elapsedSeconds: number;
    readonly generatorCoreShare: number;
}

/** Load generators in separate processes, for rates that one process cannot generate. */
export class LoadWorkers {
    readonly #processes: readonly ChildProcess[];

    private constructor(processes: readonly ChildProcess[]) {
        this.#processes = processes;
    }

    /** Starts `count` worker processes. */
    static async create(count: number): Promise<LoadWorkers> {
        const module = new URL("./loadWorker.js", import.meta.url);
        return new LoadWorkers(
            await Promise.all(Array.from({ length: count }, () => ChildProcess.create(module, []))),
        );
    }

    /** Runs the same load in every worker; entries are assigned to workers in turn. */
    async run(entries: readonly string[], order: Omit<LoadOrder, "entry">): Promise<LoadSum> {
        const results = await Promise.all(
            this.#processes.map((worker, index) =>
                sendControl<WorkerResult>(worker.address, "POST", "run", {
                    ...order,
                    entry: entries[index % entries.length],
                })
            ),
        );
        return {
            completedPerSecond: results.reduce(
                (sum, result) => sum + result.completed / result.elapsedSeconds,
                0,
            ),
            failed: results.reduce((sum, result) => sum + result.failed, 0),
            generatorCoreShare: Math.max(...results.map(result => result.generatorCoreShare)),
        };
    }

    /** Kills the worker processes. */
    async close(): Promise<void> {
        await Promise.all(this.#processes.map(worker => worker.stop("SIGKILL")));
    }
}
