import type { Change } from "../core/routing/change.js";
import { storeKeys } from "./storeKeys.js";

/** A registration has a few hundred bytes; longer values of other writers are not kept, and name nothing. */
const MAX_VALUE_LENGTH = 65_536;
const UNREADABLE_VALUE = "";

/**
 * Decodes the items or events of a page of the platform's store. Malformed ones are left out, and so are entries that the
 * router does not follow: other writers may leave any number of them, and what is followed is kept and relayed to peers.
 */
export function decodeItems(list: readonly unknown[]): readonly Change[] {
    return list.flatMap((entry: unknown) => {
        const { key, revision, value, tombstone } = (entry ?? {}) as Readonly<Record<string, unknown>>;
        if (typeof key !== "string" || !Number.isSafeInteger(revision) || !isFollowed(key)) {
            return [];
        }
        return [{
            key,
            revision: Number(revision),
            value: tombstone === true ? undefined : readValue(key, value),
        }];
    });
}

function isFollowed(key: string): boolean {
    return key === storeKeys.configuration || key.startsWith(storeKeys.evacuationPrefix)
        || key.startsWith(storeKeys.targetPrefix);
}

function readValue(key: string, value: unknown): string {
    return typeof value === "string" && (key === storeKeys.configuration || value.length <= MAX_VALUE_LENGTH)
        ? value
        : UNREADABLE_VALUE;
}
