import type { FleetSample } from "./fleetSample.js";

interface GapPoint {
    /** Seconds since the first sample. */
    readonly atSeconds: number;
    /** Largest difference of normalised service between two accounts, in tokens per unit of share. */
    readonly gap: number;
}

/**
 * Computes the largest service gap between accounts at each sample, counting service since the first sample. The
 * accounts must be backlogged throughout.
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
