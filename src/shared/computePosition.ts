import murmurhash from "murmurhash";

const HASH_RANGE = 2 ** 32;

/** Computes the position in [0, 1) at which the weights of a route divide a stream or request, the same at any instance. */
export function computePosition(id: string): number {
    return murmurhash.v3(id) / HASH_RANGE;
}
