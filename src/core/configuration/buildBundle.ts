import type { Configuration } from "./configuration.js";
import type { ConfigurationBundle } from "./configurationBundle.js";
import { serializeConfiguration } from "./serializeConfiguration.js";
import { sortObjects } from "./sortObjects.js";

/**
 * Builds the bundle that operators publish from a validated configuration.
 *
 * @param hashText SHA-256 of a UTF-8 text, in hex.
 */
export function buildBundle(
    configuration: Configuration,
    revision: number,
    hashText: (text: string) => string,
): ConfigurationBundle {
    return {
        revision,
        digest: hashText(serializeConfiguration(configuration)),
        configuration: sortObjects(configuration),
    };
}
