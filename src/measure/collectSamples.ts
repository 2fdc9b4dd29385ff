import type { FleetTargets } from "../testing/fleetTargets.js";
import type { FleetSample } from "./fleetSample.js";

/** Merges the samples of all targets; drops sampling times that some target has no sample of. */
export async function collectSamples(targets: FleetTargets): Promise<readonly FleetSample[]> {
    const byTime = new Map<number, [string, Awaited<ReturnType<FleetTargets["readSamples"]>>[number]][]>();
    for (const name of targets.names) {
        for (const sample of await targets.readSamples(name)) {
            const joined = byTime.get(sample.atMs) ?? [];
            byTime.set(sample.atMs, joined);
            joined.push([name, sample]);
        }
    }
    return [...byTime]
        .filter(([, joined]) => joined.length === targets.names.length)
        .sort(([a], [b]) => a - b)
        .map(([atMs, joined]) => ({
            atMs,
            tokensByAccount: sumTokens(joined.map(([, sample]) => sample.tokensByAccount)),
            running: new Map(joined.map(([name, sample]) => [name, sample.running])),
            bearable: new Map(joined.map(([name, sample]) => [name, sample.bearable])),
        }));
}

function sumTokens(records: readonly Readonly<Record<string, number>>[]): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const record of records) {
        for (const [account, tokens] of Object.entries(record)) {
            sums.set(account, (sums.get(account) ?? 0) + tokens);
        }
    }
    return sums;
}
