import type { AdoptionState } from "./adoptionState.js";
import { compareVersions } from "./compareVersions.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import type { ConfigurationVersion } from "./configurationVersion.js";
import { mergeDeltas } from "./mergeDeltas.js";

/** Returns the changes from `base` to the bundle in force, or `undefined` if no delta from `base` is kept. */
export function findConfigurationDelta(
    state: AdoptionState,
    base: ConfigurationVersion,
): ConfigurationDelta | undefined {
    const index = state.deltas.findIndex(delta => compareVersions(delta.base, base) === 0);
    return index < 0 ? undefined : mergeDeltas(state.deltas.slice(index).map(delta => delta.changes));
}
