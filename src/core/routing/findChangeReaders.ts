import type { ChangeReaders } from "./changeReaders.js";
import type { MemberRecord } from "./memberRecord.js";
import { pickReaders } from "./pickReaders.js";

/**
 * A reader renews its state with each watch, of 1.2 s at most, and hands it on until the next one ends, so its copy is at
 * most 2.4 s old. The limit leaves time for a read of the platform within the shortest revocation bound (5 s).
 */
const MAX_AGE_MS = 3400;
/** The second reader turns to the platform before the others find the first one too old, so that they need not. */
const SECOND_MAX_AGE_MS = 2800;

/** Finds where an instance reads changes; `peers` are the live instances of its data centre. */
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
