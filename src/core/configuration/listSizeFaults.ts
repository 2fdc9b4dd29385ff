import type { Configuration } from "./configuration.js";
import { serializeConfiguration } from "./serializeConfiguration.js";

/** The platform limits a value to 1 MB. */
const MAX_BUNDLE_BYTES = 1_000_000;
/** Longest text of a bundle around its configuration: a revision of 16 digits and a digest of 64. */
const ENVELOPE_BYTES = 126;

/** Returns a fault if the canonical bundle is larger than the platform takes. */
export function listSizeFaults(configuration: Configuration): readonly string[] {
    const bytes = new TextEncoder().encode(serializeConfiguration(configuration)).length + ENVELOPE_BYTES;
    return bytes <= MAX_BUNDLE_BYTES
        ? []
        : [`configuration: the bundle has ${bytes} bytes; the limit is ${MAX_BUNDLE_BYTES}`];
}
