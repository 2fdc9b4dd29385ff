import type { BundleCheck } from "./bundleCheck.js";
import { checkBundle } from "./checkBundle.js";
import { compressedBundleSchema } from "./compressedBundleSchema.js";
import type { ConfigurationVersion } from "./configurationVersion.js";

interface BundleCodec {
    /** Returns the SHA-256 of a UTF-8 text, in hex. */
    readonly hashText: (text: string) => string;
    /** Returns the text of base64 data compressed with gzip; throws when it cannot be decoded. */
    readonly decodeText: (data: string) => string;
}

/** Checks a bundle in one of the two published forms, plain or compressed. */
export function checkPublishedBundle(value: unknown, codec: BundleCodec): BundleCheck {
    if (typeof value !== "object" || value === null || !("encoding" in value)) {
        return checkBundle(value, codec.hashText);
    }
    const shape = compressedBundleSchema.safeParse(value);
    if (!shape.success) {
        const faults = shape.error.issues.map(issue =>
            `${issue.path.join(".") || "bundle"}: ${issue.message}`
        );
        return { version: readVersion(value), bundle: undefined, faults };
    }
    const { revision, digest, data } = shape.data;
    try {
        const configuration = JSON.parse(codec.decodeText(data)) as unknown;
        return checkBundle({ revision, digest, configuration }, codec.hashText);
    }
    catch (error) {
        const faults = [`data: ${error instanceof Error ? error.message : String(error)}`];
        return { version: { revision, digest }, bundle: undefined, faults };
    }
}

// Reads the version despite other faults, so that the rejection is recorded once for each version.
function readVersion(value: object): ConfigurationVersion {
    const version = compressedBundleSchema.unwrap().pick({ revision: true, digest: true }).strip();
    return version.safeParse(value).data ?? { revision: 0, digest: "" };
}
