import type { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configurationChange.js";
import type { ConfigurationDelta } from "./configurationDelta.js";
import type { ObjectKind } from "./objectKind.js";
import { objectKinds } from "./objectKinds.js";
import { serializeCanonical } from "./serializeCanonical.js";

/** Returns the changes that lead from one configuration to another, object by object. */
export function diffConfiguration(before: Configuration, after: Configuration): ConfigurationDelta {
    return objectKinds.flatMap(kind => diffObjects(kind, before[kind], after[kind]));
}

function diffObjects(
    kind: ObjectKind,
    before: readonly { readonly name: string; }[],
    after: readonly { readonly name: string; }[],
): readonly ConfigurationChange[] {
    const previous = new Map(before.map(object => [object.name, object]));
    const remaining = new Set(after.map(object => object.name));
    const removed = before.filter(object => !remaining.has(object.name))
        .map(object => ({ kind, name: object.name }));
    const changed = after.filter(object => {
        const old = previous.get(object.name);
        return old !== object && (!old || serializeCanonical(old) !== serializeCanonical(object));
    }).map(object => ({ kind, name: object.name, value: object }));
    return [...removed, ...changed];
}
