import type { Configuration } from "./configuration.js";
import { serializeCanonical } from "./serializeCanonical.js";
import { sortObjects } from "./sortObjects.js";

/**
 * Returns the digest that identifies a set of operator objects, whatever the order of its objects.
 *
 * @param hashText SHA-256 of a UTF-8 text, in hex.
 */
export function computeConfigurationDigest(
    configuration: Configuration,
    hashText: (text: string) => string,
): string {
    return hashText(serializeCanonical(sortObjects(configuration)));
}
