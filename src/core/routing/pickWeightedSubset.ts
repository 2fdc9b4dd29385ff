import murmurhash from "murmurhash";

const HASH_RANGE = 2 ** 32;

/**
 * Picks up to `count` items for a key, each with a probability that grows with its weight. The same key gets nearly the
 * same items when a few others come or go.
 *
 * @remarks Weighted rendezvous hashing, Schindelhauer and Schomaker, Weighted Distributed Hash Tables, SPAA 2005.
 */
export function pickWeightedSubset<T extends { readonly name: string; readonly weight: number; }>(
    items: readonly T[],
    key: string,
    count: number,
): readonly T[] {
    if (items.length <= count) {
        return items;
    }
    return items
        .map(item => {
            const position = (murmurhash.v3(`${key} ${item.name}`) + 1) / (HASH_RANGE + 1);
            return { item, rank: -Math.log(position) / Math.max(Number.EPSILON, item.weight) };
        })
        .sort((a, b) => a.rank - b.rank)
        .slice(0, count)
        .map(({ item }) => item);
}
