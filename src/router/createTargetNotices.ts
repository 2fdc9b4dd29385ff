import { TargetNotices } from "../core/routing/targetNotices.js";
import type { LogSink } from "./logSink.js";

/** Creates the record of an instance, which logs each target that leaves or wants no requests for some time. */
export function createTargetNotices(log: LogSink, getNow: () => number): TargetNotices {
    return TargetNotices.create({
        onNotice: (target, { isLeaving, pausedUntil }) => {
            const pauseMs = Math.max(0, Math.round(pausedUntil - getNow()));
            log.write("target-notice", { target, isLeaving, pauseMs });
        },
        onUnusual: (target, headers) => log.write("target-notice-unusual", { target, headers }),
    });
}
