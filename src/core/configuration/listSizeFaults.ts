import type { Configuration } from "./configuration.js";
import { serializeConfiguration } from "./serializeConfiguration.js";

/**
 * Daemons send each other a whole bundle as JSON text in one message, which gRPC limits to 4 MiB. The scale
 * expected in two years needs 1.5 MB.
 */
const MAX_CONFIGURATION_BYTES = 3_000_000;

/** Returns a fault if the canonical JSON of a configuration is too large to send between daemons. */
export function listSizeFaults(configuration: Configuration): readonly string[] {
    const bytes = new TextEncoder().encode(serializeConfiguration(configuration)).length;
    return bytes <= MAX_CONFIGURATION_BYTES
        ? []
        : [`configuration: its JSON has ${bytes} bytes; the limit is ${MAX_CONFIGURATION_BYTES}`];
}
