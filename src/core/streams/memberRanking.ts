import murmurhash from "murmurhash";
import type { MemberRecord } from "../routing/memberRecord.js";

interface WeightedMember {
    readonly member: MemberRecord;
    readonly weight: number;
}

/** More data centres than this are not asked for a record. */
const MAX_DATA_CENTRES = 4;
const ASKED_PER_DATA_CENTRE = 2;

/**
 * Ranks the instances for a key, so that all instances that know the same members find the same ones without messages.
 *
 * @remarks Rendezvous hashing, Thaler and Ravishankar 1998. Names are hashed once, since a key is ranked for each stream.
 */
export class MemberRanking {
    readonly #instance: string;
    #members: readonly MemberRecord[] = [];
    /** Hashes of the names of the members. */
    #hashes: ReadonlyMap<string, number> = new Map();

    private constructor(instance: string) {
        this.#instance = instance;
    }

    /** Creates a ranking without members, as the named instance uses it. */
    static create(instance: string): MemberRanking {
        return new MemberRanking(instance);
    }

    /** Replaces the live members. */
    setMembers(members: readonly MemberRecord[]): void {
        const known = this.#hashes;
        this.#members = members;
        this.#hashes = new Map(members.map(({ name }) => [name, known.get(name) ?? murmurhash.v3(name)]));
    }

    /** Picks the peers that hold the record of a stream: the best-ranked one, and the best-ranked of another data centre. */
    pickHolders(key: string): readonly MemberRecord[] {
        const candidates = this.#listWeighted(key).filter(({ member }) => member.state !== "closed");
        const first = pickBest(candidates);
        const others = candidates.filter(({ member }) => member !== first?.member);
        const remote = others.filter(({ member }) => member.dataCentre !== first?.member.dataCentre);
        const second = pickBest(remote.length > 0 ? remote : others);
        return [first, second].flatMap(candidate => candidate?.member ?? []);
    }

    /** Lists the peers to ask for a record: the two best-ranked of each data centre, of four data centres at most. */
    listAsked(key: string): readonly MemberRecord[] {
        const byDataCentre = new Map<string, MemberRecord[]>();
        const ranked = [...this.#listWeighted(key)].sort((a, b) => b.weight - a.weight);
        for (const { member } of ranked) {
            const list = byDataCentre.get(member.dataCentre) ?? [];
            if (list.length < ASKED_PER_DATA_CENTRE) {
                byDataCentre.set(member.dataCentre, [...list, member]);
            }
        }
        return [...byDataCentre.values()].slice(0, MAX_DATA_CENTRES).flat();
    }

    #listWeighted(key: string): readonly WeightedMember[] {
        const seed = murmurhash.v3(key);
        return this.#members.filter(({ name }) => name !== this.#instance)
            .map(member => ({ member, weight: hashInteger(seed ^ (this.#hashes.get(member.name) ?? 0)) }));
    }
}

function pickBest(candidates: readonly WeightedMember[]): WeightedMember | undefined {
    const [first] = candidates;
    return first && candidates.reduce((best, other) => other.weight > best.weight ? other : best, first);
}

/** Finalizer of MurmurHash3 (Appleby): each bit of the input changes each bit of the result with a chance of one half. */
function hashInteger(value: number): number {
    let bits = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
    return (bits ^ (bits >>> 16)) >>> 0;
}
