import type { Change } from "./change.js";

/** Returns whether a value received from a peer is a change of the platform's data. */
export function isChange(value: unknown): value is Change {
    const change = value as Partial<Change> | null;
    return typeof change === "object" && change !== null && typeof change.key === "string"
        && Number.isSafeInteger(change.revision)
        && (change.value === undefined || typeof change.value === "string");
}
