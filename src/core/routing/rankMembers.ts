import murmurhash from "murmurhash";
import type { MemberRecord } from "./memberRecord.js";

const HASH_RANGE = 2 ** 32;

/**
 * Ranks members for a key, so that each comes first for a part of the keys that is proportional to its weight.
 *
 * @remarks Weighted rendezvous hashing, Schindelhauer and Schomaker 2005.
 */
export function rankMembers(members: readonly MemberRecord[], key: string): readonly MemberRecord[] {
    const ranked = members.map(member => {
        const uniform = (murmurhash.v3(`${key}|${member.name}`) + 0.5) / HASH_RANGE;
        return { member, score: member.weight / -Math.log(uniform) };
    });
    return ranked.sort((a, b) => b.score - a.score).map(({ member }) => member);
}
