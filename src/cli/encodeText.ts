import { constants, gzipSync } from "node:zlib";

/** Compresses a UTF-8 text with gzip and encodes it in base64; equal texts give equal data. */
export function encodeText(text: string): string {
    return gzipSync(text, { level: constants.Z_BEST_COMPRESSION }).toString("base64");
}
