import type { BundleCheck } from "./bundleCheck.js";

import type { Configuration } from "./configuration.js";
import { configurationBundleSchema } from "./configurationBundleSchema.js";
import type { ConfigurationVersion } from "./configurationVersion.js";
import { serializeConfiguration } from "./serializeConfiguration.js";
import { validateConfiguration } from "./validateConfiguration.js";

const UNKNOWN_VERSION: ConfigurationVersion = { revision: 0, digest: "" };

/**
 * Checks the shape, the configuration and the digest of a bundle from the platform or a peer. The digest
 * covers the configuration as published, before defaults are filled in, so that a version of the program
 * with a new default still accepts an old bundle.
 *
 * @param hashText SHA-256 of a UTF-8 text, in hex.
 */
export function checkBundle(value: unknown, hashText: (text: string) => string): BundleCheck {
    const shape = configurationBundleSchema.safeParse(value);
    if (!shape.success) {
        return refuseBundle(
            UNKNOWN_VERSION,
            shape.error.issues.map(issue => `${issue.path.join(".") || "bundle"}: ${issue.message}`),
        );
    }
    const { revision, digest } = shape.data;
    const check = validateConfiguration(shape.data.configuration);
    if (!check.configuration) {
        return refuseBundle({ revision, digest }, check.faults);
    }
    const published = shape.data.configuration as Configuration;
    const actual = hashText(serializeConfiguration(published));
    if (actual !== digest) {
        return refuseBundle({ revision, digest }, [`digest: the configuration has the digest ${actual}`]);
    }
    return {
        version: { revision, digest },
        bundle: { revision, digest, configuration: published, effective: check.configuration },
        faults: [],
    };
}

function refuseBundle(version: ConfigurationVersion, faults: readonly string[]): BundleCheck {
    return { version, bundle: undefined, faults };
}
