import type { Configuration } from "./configuration.js";
import { objectKinds } from "./objectKinds.js";
import { serializeCanonical } from "./serializeCanonical.js";

/**
 * Text of objects that were serialized before. Objects never change and are shared between consecutive
 * configurations, and a full set of 9,200 objects takes tens of milliseconds without it.
 */
const serializedObjects = new WeakMap<object, string>();
const sortedKinds = [...objectKinds].sort();

/** Serializes a set in canonical form: keys sorted, objects of each kind sorted by name, no white space. */
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
