import { Worker } from "node:worker_threads";
import type { ChildProcess } from "./childProcess.js";

/**
 * Gives a process a share of a processor, by suspending it in each period of 30 ms. A thread of its own does so, because a busy
 * test would suspend the process for longer.
 *
 * @param share From 0 to 1.
 * @returns A function that ends it.
 */
export function limitProcessor({ pid }: ChildProcess, share: number): () => void {
    const stopped = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(new URL("./suspendInPeriods.js", import.meta.url), {
        workerData: { pid, share, stopped },
    });
    worker.unref();
    return () => {
        Atomics.store(stopped, 0, 1);
        Atomics.notify(stopped, 0);
    };
}
