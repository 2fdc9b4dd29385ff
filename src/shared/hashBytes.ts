import { createHash } from "node:crypto";

/** Characters kept of a digest: 128 bits, so that callers cannot find two inputs with the same one. */
const DIGEST_CHARACTERS = 22;

/** Returns a short digest (SHA-256, FIPS 180-4) of a text and of bytes that follow it, in base64url. */
export function hashBytes(text: string, bytes: Uint8Array | undefined): string {
    const hash = createHash("sha256").update(text);
    if (bytes) {
        hash.update(bytes);
    }
    return hash.digest("base64url").slice(0, DIGEST_CHARACTERS);
}
