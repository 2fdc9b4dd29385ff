import type { ChangeReaders } from "./changeReaders.js";
import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";

/**
 * A reader updates its copy with each watch, of 1.2 s at most, and relays it until the next one ends, so the copy is at
 * most 2.4 s old. The limit leaves time to read from the platform within the shortest revocation bound (5 s).
 */
const MAX_AGE_MS = 3400;
/** Lower, so that the second reader falls back to the platform before the other instances have to. */
const SECOND_MAX_AGE_MS = 2800;

/** Finds the peers from which an instance reads changes; `peers` are the live instances of its data centre. */
export function findChangeReaders(instance: string, peers: readonly MemberRecord[]): ChangeReaders {
    const readers = pickReaders([instance, ...peers.map(peer => peer.name)]);
    const rank = readers.indexOf(instance);
    const isDirect = rank === 0 || readers.length > peers.length;
    const sources = isDirect ? [] : rank > 0 ? readers.slice(0, rank) : readers;
    return {
        hosts: sources.flatMap(name => peers.filter(peer => peer.name === name).map(peer => peer.ip)),
        maxAgeMs: rank > 0 ? SECOND_MAX_AGE_MS : MAX_AGE_MS,
    };
}
