import { gunzipSync } from "node:zlib";

/** Above the largest configuration that passes the check; keeps a small value from filling the memory. */
const MAX_TEXT_BYTES = 4_000_000;

/**
 * Returns the UTF-8 text of base64 data compressed with gzip.
 *
 * @throws Error when the data is not such text or the text is too long.
 */
export function decodeText(data: string): string {
    return gunzipSync(Buffer.from(data, "base64"), { maxOutputLength: MAX_TEXT_BYTES }).toString("utf8");
}
