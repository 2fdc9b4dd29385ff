import type { Change } from "../core/routing/change.js";

const UNREADABLE_VALUE = "";

/** Decodes the items or events of a page of the platform's store; malformed ones are left out. */
export function decodeItems(list: readonly unknown[]): readonly Change[] {
    return list.flatMap((entry: unknown) => {
        const { key, revision, value, tombstone } = (entry ?? {}) as Readonly<Record<string, unknown>>;
        if (typeof key !== "string" || !Number.isSafeInteger(revision)) {
            return [];
        }
        return [{
            key,
            revision: Number(revision),
            value: tombstone === true ? undefined : typeof value === "string" ? value : UNREADABLE_VALUE,
        }];
    });
}
