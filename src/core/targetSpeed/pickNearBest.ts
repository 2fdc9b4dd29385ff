import { listNearBest } from "./listNearBest.js";

type ScoredCandidate = Parameters<typeof listNearBest>[0][number];

/**
 * Picks one of the candidates whose score is close to the lowest, those with lower scores more often. Instances that read the
 * same reports would otherwise all choose the same target until the next reports show its load.
 *
 * @param getRandom Returns a random number from 0 to 1.
 */
export function pickNearBest<T extends ScoredCandidate>(
    candidates: readonly T[],
    getRandom: () => number,
): T | undefined {
    const weighted = listNearBest(candidates);
    let left = getRandom() * weighted.reduce((sum, { weight }) => sum + weight, 0);
    for (const { candidate, weight } of weighted) {
        left -= weight;
        if (left < 0) {
            return candidate;
        }
    }
    return weighted[0]?.candidate;
}
