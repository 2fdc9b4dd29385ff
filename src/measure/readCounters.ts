import type { Fleet } from "../testing/fleet.js";
import { parseMetrics } from "../testing/parseMetrics.js";

/** Reads some counters summed over all running daemons, keyed by name and label values joined with `/`. */
export async function readCounters(
    fleet: Fleet,
    names: readonly string[],
): Promise<ReadonlyMap<string, number>> {
    const pages = await Promise.all(fleet.daemons.map(daemon => fleet.readOperator(daemon, "/metrics")));
    const sums = new Map<string, number>();
    for (const sample of pages.flatMap(page => page === undefined ? [] : parseMetrics(page))) {
        const name = sample.name.replace(/^baobabspread_/, "");
        if (names.includes(name)) {
            const key = [name, ...Object.values(sample.labels)].join("/");
            sums.set(key, (sums.get(key) ?? 0) + sample.value);
        }
    }
    return sums;
}
