import type { ConfigurationCheck } from "./configurationCheck.js";
import { configurationSchema } from "./configurationSchema.js";
import { listReferenceFaults } from "./listReferenceFaults.js";
import { listSizeFaults } from "./listSizeFaults.js";

/** Validates a configuration as a whole and lists every fault with its path. */
export function validateConfiguration(value: unknown): ConfigurationCheck {
    const result = configurationSchema.safeParse(value);
    const faults = [
        ...(result.error?.issues ?? []).map(issue =>
            `${issue.path.join(".") || "configuration"}: ${issue.message}`
        ),
        ...listReferenceFaults(value),
        ...(result.data ? listSizeFaults(result.data) : []),
    ];
    return { configuration: faults.length === 0 ? result.data : undefined, faults };
}
