import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a seeded source of numbers from 0 to below 1. */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}
