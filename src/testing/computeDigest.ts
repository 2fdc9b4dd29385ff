import { createHash } from "node:crypto";

/** SHA-256 (hex) of the canonical JSON of a configuration: objects sorted by name, keys sorted, no white space. */
export function computeDigest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(value, normalizeValue)).digest("hex");
}

function normalizeValue(_key: string, value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.every(hasName) ? [...value].sort((a, b) => a.name < b.name ? -1 : 1) : value;
    }
    if (value === null || typeof value !== "object") {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1));
}

function hasName(value: unknown): value is { readonly name: string; } {
    return typeof value === "object" && value !== null && "name" in value;
}
