import type { FleetSample } from "./fleetSample.js";

interface GapPoint {
    /** Seconds since the first sample. */
    readonly atSeconds: number;
    /** Largest difference of normalised service between two accounts, in tokens per unit of share. */
    readonly gap: number;
}

/**
 * Computes the gap between accounts that were all backlogged throughout, from what they were served since the first
 * sample.
 */
export function computeGaps(
    samples: readonly FleetSample[],
    weights: Readonly<Record<string, number>>,
): readonly GapPoint[] {
    const [first] = samples;
    if (!first) {
        return [];
    }
    return samples.map(sample => {
        const services = Object.entries(weights).map(([account, weight]) =>
            ((sample.tokensByAccount.get(account) ?? 0) - (first.tokensByAccount.get(account) ?? 0)) / weight
        );
        return {
            atSeconds: (sample.atMs - first.atMs) / 1000,
            gap: Math.max(...services) - Math.min(...services),
        };
    });
}
