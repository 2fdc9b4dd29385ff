import type { StoreItem } from "./storeItem.js";

/** Decodes the items or events of a page; entries of another form are left out. */
export function decodeItems(list: unknown): readonly StoreItem[] {
    if (!Array.isArray(list)) {
        return [];
    }
    return list.flatMap((entry: unknown) => {
        const { key, revision, value, tombstone } = (entry ?? {}) as Readonly<Record<string, unknown>>;
        if (typeof key !== "string") {
            return [];
        }
        return [{
            key,
            revision: typeof revision === "number" ? revision : 0,
            value: tombstone !== true && typeof value === "string" ? Buffer.from(value, "base64") : undefined,
        }];
    });
}
