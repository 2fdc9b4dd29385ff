import { readFileSync } from "node:fs";

const BYTES_PER_KB = 1024;

/** Reads the peak of the resident memory of a process in bytes (VmHWM of proc_pid_status(5)). */
export function readPeakBytes(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * BYTES_PER_KB;
}
