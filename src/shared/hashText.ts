import { createHash } from "node:crypto";

/** Returns the SHA-256 of a UTF-8 text in hex. */
export function hashText(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
