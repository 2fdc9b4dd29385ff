import { build } from "hdr-histogram-js";

const UNITS_PER_MS = 1000;

/** Computes a percentile of times in milliseconds, to a microsecond and three digits; `undefined` without any. */
export function computePercentile(timesMs: readonly number[], percentile: number): number | undefined {
    if (timesMs.length === 0) {
        return undefined;
    }
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (const time of timesMs) {
        histogram.recordValue(Math.max(0, Math.round(time * UNITS_PER_MS)));
    }
    return histogram.getValueAtPercentile(percentile) / UNITS_PER_MS;
}
