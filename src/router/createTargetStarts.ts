import { TargetStarts } from "../core/routing/targetStarts.js";
import type { LogSink } from "./logSink.js";

/** Creates the record of an instance, which logs each target that has started again before its registration shows it. */
export function createTargetStarts(log: LogSink): TargetStarts {
    return TargetStarts.create({
        onRestarted: ({ id, startedAtMs }, namedStartMs) =>
            log.write("target-restarted", { target: id, registered: startedAtMs, named: namedStartMs }),
        onUnnamed: ({ id }) => log.write("target-start-unnamed", { target: id }),
    });
}
