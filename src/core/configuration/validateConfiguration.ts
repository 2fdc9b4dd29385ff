import type { ConfigurationCheck } from "./configurationCheck.js";
import { configurationSchema } from "./configurationSchema.js";
import { listReferenceFaults } from "./listReferenceFaults.js";
import { serializeCanonical } from "./serializeCanonical.js";

/** The platform limits a value to 1 MB. */
const MAX_BUNDLE_BYTES = 1_000_000;
const LONGEST_VERSION = { revision: Number.MAX_SAFE_INTEGER, digest: "0".repeat(64) };

/** Checks a set of operator objects as a whole and names every fault with its path. */
export function validateConfiguration(value: unknown): ConfigurationCheck {
    const result = configurationSchema.safeParse(value);
    const faults = [
        ...(result.error?.issues ?? []).map(issue =>
            `${issue.path.join(".") || "configuration"}: ${issue.message}`
        ),
        ...listReferenceFaults(value),
        ...listSizeFaults(result.data ?? value),
    ];
    return { configuration: faults.length === 0 ? result.data : undefined, faults };
}

function listSizeFaults(configuration: unknown): readonly string[] {
    const text = serializeCanonical({ ...LONGEST_VERSION, configuration });
    const bytes = new TextEncoder().encode(text).length;
    return bytes <= MAX_BUNDLE_BYTES
        ? []
        : [`configuration: the bundle has ${bytes} bytes; the limit is ${MAX_BUNDLE_BYTES}`];
}
