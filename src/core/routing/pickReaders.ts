import murmurhash from "murmurhash";

/** In a data centre with at most this many instances, each one reads from the platform directly. */
const MAX_DIRECT_READERS = 4;
/** Readers in a larger data centre; the second reads from the platform if the first is cut off from it. */
const RELAYING_READERS = 2;

/** Picks the instances of a data centre that relay the platform's changes to the others, in order of preference. */
export function pickReaders(instances: readonly string[]): readonly string[] {
    const ranked = [...instances].sort((a, b) => murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1));
    return instances.length <= MAX_DIRECT_READERS ? ranked : ranked.slice(0, RELAYING_READERS);
}
