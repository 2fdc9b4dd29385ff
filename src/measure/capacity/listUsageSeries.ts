import type { SlopeSeries } from "./slopeSeries.js";
import type { UsageRates } from "./usageRates.js";

type Point = readonly [size: number, usage: UsageRates];

/** Returns the series of one sweep: bytes by method, calls, requests, processor time, memory, platform calls. */
export function listUsageSeries(
    name: string,
    per: string,
    points: readonly Point[],
): readonly SlopeSeries[] {
    const makeSeries = (
        quantity: string,
        unit: string,
        read: (usage: UsageRates) => number,
    ): SlopeSeries => ({
        name: `${name}.${quantity}`,
        per,
        unit,
        method: "fleet",
        points: points.map(([size, usage]) => [size, read(usage)]),
    });
    const methods = new Set(points.flatMap(([, usage]) => [...usage.bytesSent.keys()]));
    return [
        ...[...methods].sort().map(method =>
            makeSeries(`bytes.${method}`, "B/s sent", usage => usage.bytesSent.get(method) ?? 0)
        ),
        makeSeries("calls", "calls/s", usage => usage.calls.get("total") ?? 0),
        makeSeries("requests", "requests/s", usage => usage.requests),
        makeSeries("cpu", "ms/s", usage => usage.cpuMs),
        makeSeries("resident", "MB", usage => usage.residentBytes / 1e6),
        makeSeries("platformCalls", "calls/s of the fleet", usage => usage.platformCalls),
    ];
}
