import murmurhash from "murmurhash";

/**
 * Picks one of the candidates for a key, so that all instances pick the same one without messages.
 *
 * @remarks Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
 */
export function pickByHash(key: string, candidates: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const candidate of candidates) {
        const weight = murmurhash.v3(`${key}|${candidate}`);
        if (weight > bestWeight) {
            bestWeight = weight;
            best = candidate;
        }
    }
    return best;
}
