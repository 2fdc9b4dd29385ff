import type { parseMetrics } from "../../testing/parseMetrics.js";

type Samples = ReturnType<typeof parseMetrics>;

/**
 * Sums a counter by its label `method`, with the sum of all methods as `total`.
 *
 * @param labels Labels that a sample must have.
 */
export function sumByMethod(
    samples: Samples,
    name: string,
    labels: Readonly<Record<string, string>> = {},
): ReadonlyMap<string, number> {
    const sums = new Map<string, number>([["total", 0]]);
    for (const sample of samples) {
        const isWanted = sample.name === name
            && Object.entries(labels).every(([label, value]) => sample.labels[label] === value);
        if (isWanted) {
            const method = sample.labels["method"] ?? "";
            sums.set(method, (sums.get(method) ?? 0) + sample.value);
            sums.set("total", (sums.get("total") ?? 0) + sample.value);
        }
    }
    return sums;
}
