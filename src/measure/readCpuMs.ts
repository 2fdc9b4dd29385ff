import type { Fleet } from "../testing/fleet.js";
import { readProcessUsage } from "../testing/readProcessUsage.js";

/** Reads the total processor time of all running daemons since they started, in milliseconds. */
export async function readCpuMs(fleet: Fleet): Promise<number> {
    const usages = await Promise.all(fleet.daemons.map(name => readProcessUsage(fleet.getDaemon(name).pid)));
    return usages.reduce((sum, usage) => sum + usage.cpuMs, 0);
}
