import murmurhash from "murmurhash";

/** In a data centre with at most this many instances, each one reads the platform itself. */
const MAX_DIRECT = 4;
/** Readers of a larger data centre; the second serves when the first is down or cut off from the platform. */
const READERS = 2;

/** Returns the instances of a data centre that read the platform and hand its changes on to the others. */
export function pickReaders(instances: readonly string[]): readonly string[] {
    if (instances.length <= MAX_DIRECT) {
        return instances;
    }
    return [...instances].sort((a, b) => murmurhash.v3(a) - murmurhash.v3(b) || (a < b ? -1 : 1)).slice(
        0,
        READERS,
    );
}
