import { RequestLimiter } from "../core/limits/requestLimiter.js";
import type { LogSink } from "./logSink.js";
import type { RouterSettings } from "./routerSettings.js";

/** Creates the request limiter of an instance that started at a monotonic time in milliseconds; it logs each change. */
export function createRequestLimiter(
    settings: Pick<RouterSettings, "instance" | "locality" | "regionsByDataCentre">,
    log: LogSink,
    startedAt: number,
): RequestLimiter {
    return RequestLimiter.create({
        instance: settings.instance,
        locality: settings.locality,
        regionsByDataCentre: settings.regionsByDataCentre,
        startedAt,
        onLimitChanged: (target, perSecond, source) =>
            log.write("target-limit-changed", { target, perSecond: perSecond ?? null, source }),
        onUnusualLimit: (target, reason) => log.write("target-limit-unusual", { target, reason }),
    });
}
