import { readFile } from "node:fs/promises";

interface ProcessUsage {
    /** Processor time since the start in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory in bytes. */
    readonly residentBytes: number;
}

/** The kernel reports processor time in ticks of 10 ms (USER_HZ is 100 on every Linux). */
const MS_PER_TICK = 10;

/** Reads the processor time and the memory of a process from `/proc`. */
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
    const stat = await readFile(`/proc/${pid}/stat`, "utf8");
    const status = await readFile(`/proc/${pid}/status`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return {
        cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK,
        residentBytes: Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1024,
    };
}
