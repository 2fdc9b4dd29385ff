import { buildBundle } from "../core/configuration/buildBundle.js";
import type { CompressedBundle } from "../core/configuration/compressedBundle.js";
import type { Configuration } from "../core/configuration/configuration.js";
import { serializeCanonical } from "../core/configuration/serializeCanonical.js";
import { hashText } from "../shared/hashText.js";
import { encodeText } from "./encodeText.js";

interface PublishedBundle {
    /** JSON text to publish. */
    readonly text: string;
    /** One line per fault; empty if the platform can hold the bundle. */
    readonly faults: readonly string[];
}

/** The platform limits a value to 1 MB. */
const MAX_PUBLISHED_BYTES = 1_000_000;
/** A larger bundle is compressed; a smaller one stays readable for operators. */
const MAX_PLAIN_BYTES = 500_000;

/** Builds the text that operators publish, compressed if the plain form is large. */
export function buildPublishedBundle(configuration: Configuration, revision: number): PublishedBundle {
    const bundle = buildBundle(configuration, revision, hashText);
    const plain = serializeCanonical(bundle);
    if (Buffer.byteLength(plain) <= MAX_PLAIN_BYTES) {
        return { text: plain, faults: [] };
    }
    const compressed: CompressedBundle = {
        revision,
        digest: bundle.digest,
        encoding: "gzip+base64",
        data: encodeText(serializeCanonical(bundle.configuration)),
    };
    const text = serializeCanonical(compressed);
    const bytes = Buffer.byteLength(text);
    return {
        text,
        faults: bytes <= MAX_PUBLISHED_BYTES
            ? []
            : [`configuration: the bundle has ${bytes} bytes compressed; the limit is ${MAX_PUBLISHED_BYTES}`],
    };
}
