import { CrashDetector } from "../core/routing/crashDetector.js";
import type { CrashRecord } from "../core/routing/crashRecord.js";
import type { TargetDescriptor } from "../core/routing/targetDescriptor.js";
import type { LogSink } from "./logSink.js";

/** Creates the detector of an instance, which logs each target that is found to have crashed. */
export function createCrashDetector(
    crashRecord: CrashRecord,
    log: LogSink,
    onBroken: (target: TargetDescriptor) => void,
): CrashDetector {
    return CrashDetector.create({
        crashRecord,
        onBroken,
        onCrash: (target, brokenResponses) => log.write("target-crashed", { target, brokenResponses }),
    });
}
