import { hashBytes } from "../../shared/hashBytes.js";

/** 66 bits; two streams of a fleet that are remembered at the same time practically never share a key. */
const KEY_CHARACTERS = 11;

/** Returns the key of a stream, from its client account and the identifier of the attempt that brought its first event. */
export function hashStreamKey(account: string, streamId: string): string {
    return hashBytes(JSON.stringify([account, streamId]), undefined).slice(0, KEY_CHARACTERS);
}
