import type { ChangeReaders } from "./changeReaders.js";
import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";

/** A reader updates its copy with each watch, of 1.2 s at most, and relays it until the next one ends. */
const USUAL_AGE_MS = 2400;
/** A copy that was recent enough is used until the next read, which waits 0.7 s for changes; the rest is for the way. */
const READ_MARGIN_MS = 1100;
/** The second reader falls back to the platform earlier, so that it has a recent copy for the other instances. */
const SECOND_READER_LEAD_MS = 300;

/**
 * Finds the peers from which an instance reads changes; `peers` are the live instances of its data centre.
 *
 * @param maxDelayMs Time in milliseconds within which a change must be in force. If it is too short for copies of a
 * usual age, each instance reads from the platform.
 */
export function findChangeReaders(
    instance: string,
    peers: readonly MemberRecord[],
    maxDelayMs: number,
): ChangeReaders {
    const maxAgeMs = maxDelayMs - READ_MARGIN_MS;
    const readers = pickReaders([instance, ...peers.map(peer => peer.name)]);
    const rank = readers.indexOf(instance);
    const isDirect = rank === 0 || readers.length > peers.length
        || maxAgeMs - SECOND_READER_LEAD_MS < USUAL_AGE_MS;
    const sources = isDirect ? [] : rank > 0 ? readers.slice(0, rank) : readers;
    return {
        hosts: sources.flatMap(name => peers.filter(peer => peer.name === name).map(peer => peer.ip)),
        maxAgeMs: rank > 0 ? maxAgeMs - SECOND_READER_LEAD_MS : maxAgeMs,
    };
}
