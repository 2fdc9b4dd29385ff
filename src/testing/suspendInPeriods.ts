import { workerData } from "node:worker_threads";

interface SuspensionData {
    readonly pid: number;
    /** Share of the time in which the process runs. */
    readonly share: number;
    /** Its element is 0 until the suspensions end. */
    readonly stopped: Int32Array;
}

const PERIOD_MS = 30;

const { pid, share, stopped } = workerData as SuspensionData;
const wait = (ms: number): boolean => Atomics.wait(stopped, 0, 0, ms) === "timed-out";
try {
    do {
        process.kill(pid, "SIGSTOP");
        wait(PERIOD_MS * (1 - share));
        process.kill(pid, "SIGCONT");
    }
    while (wait(PERIOD_MS * share));
}
catch {
    // The process has ended.
}
