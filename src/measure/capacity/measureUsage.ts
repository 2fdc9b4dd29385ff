import type { Fleet } from "../../testing/fleet.js";
import { parseMetrics } from "../../testing/parseMetrics.js";
import { readProcessUsage } from "../../testing/readProcessUsage.js";
import { readCpuMs } from "../readCpuMs.js";
import { waitMs } from "../waitMs.js";
import { sumByMethod } from "./sumByMethod.js";
import type { UsageRates } from "./usageRates.js";

type Sums = ReadonlyMap<string, number>;

/** Measures the resource usage of a fleet's daemons during `run`, which by default waits for `seconds`. */
export async function measureUsage(
    fleet: Fleet,
    seconds: number,
    run: () => Promise<unknown> = () => waitMs(seconds * 1000),
): Promise<UsageRates> {
    const before = await readCounters(fleet);
    const platformBefore = await fleet.platform.readCalls();
    const cpuBefore = await readCpuMs(fleet);
    const startedAt = performance.now();
    await run();
    const elapsed = (performance.now() - startedAt) / 1000;
    // Processor time is read first, because rendering the metrics costs the daemons some.
    const cpuMs = await readCpuMs(fleet) - cpuBefore;
    const after = await readCounters(fleet);
    const platformCalls = (await fleet.platform.readCalls() - platformBefore) / elapsed;
    const usages = await Promise.all(fleet.daemons.map(name => readProcessUsage(fleet.getDaemon(name).pid)));
    const scale = 1 / elapsed / fleet.daemons.length;
    return {
        bytesSent: computeRates(before.bytes, after.bytes, scale),
        calls: computeRates(before.calls, after.calls, scale),
        cpuMs: cpuMs * scale,
        residentBytes: usages.reduce((sum, usage) => sum + usage.residentBytes, 0) / usages.length,
        requests: (after.requests - before.requests) * scale,
        platformCalls,
    };
}

async function readCounters(
    fleet: Fleet,
): Promise<{ readonly bytes: Sums; readonly calls: Sums; readonly requests: number; }> {
    const pages = await Promise.all(fleet.daemons.map(name => fleet.readOperator(name, "/metrics")));
    const samples = pages.flatMap(page => parseMetrics(page ?? ""));
    return {
        bytes: sumByMethod(samples, "baobabspread_peer_bytes_total", { direction: "sent" }),
        calls: sumByMethod(samples, "baobabspread_peer_calls_total"),
        requests: sumByMethod(samples, "baobabspread_requests_total").get("total") ?? 0,
    };
}

function computeRates(before: Sums, after: Sums, scale: number): Sums {
    return new Map(
        [...after].map(([method, value]) => [method, (value - (before.get(method) ?? 0)) * scale]),
    );
}
