import type { ConfigurationChange } from "./configurationChange.js";
import type { ConfigurationDelta } from "./configurationDelta.js";

/** Merges consecutive deltas, oldest first, into one from the first base to the last result. */
export function mergeDeltas(deltas: readonly ConfigurationDelta[]): ConfigurationDelta {
    const changes = new Map<string, ConfigurationChange>();
    for (const change of deltas.flat()) {
        changes.set(`${change.kind}/${change.name}`, change);
    }
    return [...changes.values()];
}
