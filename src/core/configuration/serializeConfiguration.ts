import type { Configuration } from "./configuration.js";
import { objectKinds } from "./objectKinds.js";
import { serializeCanonical } from "./serializeCanonical.js";

/**
 * Canonical JSON of each object. Objects are immutable and shared between consecutive configurations; without
 * this cache, serializing a full configuration of 9,200 objects takes tens of milliseconds.
 */
const serializedObjects = new WeakMap<object, string>();
const sortedKinds = [...objectKinds].sort();

/** Serializes a configuration in canonical form: sorted keys, objects sorted by name, no white space. */
export function serializeConfiguration(configuration: Configuration): string {
    const members = sortedKinds.map(kind => {
        const objects = [...configuration[kind]].sort((a, b) => (a.name < b.name ? -1 : 1));
        return `${JSON.stringify(kind)}:[${objects.map(object => serializeObject(object)).join(",")}]`;
    });
    return `{${members.join(",")}}`;
}

function serializeObject(object: object): string {
    const known = serializedObjects.get(object);
    if (known !== undefined) {
        return known;
    }
    const text = serializeCanonical(object);
    serializedObjects.set(object, text);
    return text;
}
