import { hashStreamKey } from "./hashStreamKey.js";

/** Name that no client account has: targets name their runs without the account. */
const ANY_ACCOUNT = "\n";

/** Returns the key of what targets say of a run, from the identifier of the caller's attempt. */
export function hashRunKey(requestId: string): string {
    return hashStreamKey(ANY_ACCOUNT, requestId);
}
