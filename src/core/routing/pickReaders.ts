import murmurhash from "murmurhash";

/** In a data centre with at most this many instances, each one reads the platform itself. */
const MAX_DIRECT = 4;
/** Readers of a larger data centre; the second reads the platform when the first is cut off from it. */
const READERS = 2;

/** Returns the instances of a data centre that hand the platform's changes on to the others, the first one first. */
export function pickReaders(instances: readonly string[]): readonly string[] {
    const ranked = [...instances].sort((a, b) => murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1));
    return instances.length <= MAX_DIRECT ? ranked : ranked.slice(0, READERS);
}
