import { CrashDetector } from "../core/routing/crashDetector.js";
import type { PromptCrashes } from "../core/routing/promptCrashes.js";
import type { LogSink } from "./logSink.js";

/** Creates the detector of an instance, which logs each target that is found to have crashed. */
export function createCrashDetector(promptCrashes: PromptCrashes, log: LogSink): CrashDetector {
    return CrashDetector.create({
        promptCrashes,
        onCrash: (target, brokenResponses) => log.write("target-crashed", { target, brokenResponses }),
    });
}
