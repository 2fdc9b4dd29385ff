import { gunzipSync } from "node:zlib";

/** Above the largest configuration that passes validation; protects against decompression bombs. */
const MAX_TEXT_BYTES = 4_000_000;

/**
 * Decodes base64 data, decompresses it with gzip and returns the UTF-8 text.
 *
 * @throws Error when the data is not such text or the text is too long.
 */
export function decodeText(data: string): string {
    return gunzipSync(Buffer.from(data, "base64"), { maxOutputLength: MAX_TEXT_BYTES }).toString("utf8");
}
