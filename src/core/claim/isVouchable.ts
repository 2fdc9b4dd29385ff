import { maxClockSkewMs } from "./maxClockSkewMs.js";

interface VouchInput {
    /** Creation of the key; this and the other times are wall-clock times in milliseconds. */
    readonly keyTimeMs: number | undefined;
    /** Start of the holder, which does not know claims from before. */
    readonly startedAtMs: number;
    /** Time since which the holder has been in the group of the key without interruption, in its own view. */
    readonly memberSinceMs: number;
    readonly nowMs: number;
}

/** 24 h; claims of older keys may have been evicted. */
const MAX_KEY_AGE_MS = 86_400_000;

/**
 * True if the holder would know of any earlier claim of a key: the key was created while the holder was running and in
 * the group, and its claim cannot have been evicted. A key with a time in the future is not vouched for, because a
 * holder that starts before that time would wrongly vouch for it later.
 */
export function isVouchable(input: VouchInput): boolean {
    if (input.keyTimeMs === undefined) {
        return false;
    }
    const knownSinceMs = Math.max(input.startedAtMs, input.memberSinceMs) + maxClockSkewMs;
    return input.keyTimeMs > knownSinceMs
        && input.keyTimeMs <= input.nowMs + maxClockSkewMs
        && input.keyTimeMs > input.nowMs - MAX_KEY_AGE_MS;
}
