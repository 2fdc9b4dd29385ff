import type { Change } from "../core/routing/change.js";

/** Decodes the items or events of a page of the platform's store; malformed ones are left out. */
export function decodeItems(list: unknown): readonly Change[] {
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
            value: tombstone !== true && typeof value === "string" ? value : undefined,
        }];
    });
}
