import type { Fleet } from "../testing/fleet.js";

/** Sums a metric over all running daemons; `undefined` if no daemon serves it. */
export async function sumMetric(
    fleet: Fleet,
    name: string,
    labels: Readonly<Record<string, string>> = {},
): Promise<number | undefined> {
    const values = await Promise.all(
        fleet.daemons.map(daemon => fleet.readMetric(daemon, `baobabspread_${name}`, labels)),
    );
    const known = values.filter(value => value !== undefined);
    return known.length > 0 ? known.reduce((sum, value) => sum + value, 0) : undefined;
}
