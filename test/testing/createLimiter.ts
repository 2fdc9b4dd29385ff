import { RequestLimiter } from "../../src/core/limits/requestLimiter.js";

const REGIONS = new Map([["a", "r"], ["b", "s"], ["c", "t"]]);

/** Creates the limiter of an instance in data centre `a`, by default, that started at time 0. */
export function createLimiter(
    options: Partial<Parameters<typeof RequestLimiter.create>[0]> = {},
): RequestLimiter {
    return RequestLimiter.create({
        instance: "self",
        locality: { dataCentre: "a", region: "r" },
        regionsByDataCentre: REGIONS,
        startedAt: 0,
        onLimitChanged: () => undefined,
        onUnusualLimit: () => undefined,
        ...options,
    });
}
