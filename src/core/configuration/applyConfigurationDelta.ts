import type { Configuration } from "./configuration.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import { objectKinds } from "./objectKinds.js";
import { sortObjects } from "./sortObjects.js";

/**
 * Applies a delta and returns the configuration in canonical order. Unchanged objects are shared with `base`.
 * The result is not validated, although the delta may come from another daemon: see `checkDelta`.
 */
export function applyConfigurationDelta(base: Configuration, delta: ConfigurationDelta): Configuration {
    const lists = Object.fromEntries(objectKinds.map(kind => {
        const objects = new Map<string, { readonly name: string; }>(
            base[kind].map(object => [object.name, object]),
        );
        for (const change of delta.filter(candidate => candidate.kind === kind)) {
            if (change.value) {
                objects.set(change.name, change.value);
                continue;
            }
            objects.delete(change.name);
        }
        return [kind, [...objects.values()]];
    }));
    return sortObjects(lists as unknown as Configuration);
}
