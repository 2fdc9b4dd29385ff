import { PromptCrashes } from "../core/routing/promptCrashes.js";
import type { LogSink } from "./logSink.js";

/** Creates the record of an instance, which logs each prompt part that is refused or accepted again. */
export function createPromptCrashes(log: LogSink): PromptCrashes {
    return PromptCrashes.create({
        onBlockedChanged: (part, isBlocked) => log.write("prompt-part-changed", { part, isBlocked }),
    });
}
