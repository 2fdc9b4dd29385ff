interface ScoredCandidate {
    readonly score: number;
    readonly terms: { readonly expectedMs: number; readonly cacheMs: number; };
}

/** Candidates within this share of the best one's expected time may be chosen, or within the time below. */
const MARGIN_SHARE = 0.25;
const MIN_MARGIN_MS = 5;

/**
 * Picks one of the candidates whose score is close to the lowest, those with lower scores more often. Instances that read the
 * same reports would otherwise all choose the same target until the next reports show its load. A target that lacks more of a
 * shared prompt than the best one is never chosen in its place.
 *
 * @param getRandom Returns a random number from 0 to 1.
 */
export function pickNearBest<T extends ScoredCandidate>(
    candidates: readonly T[],
    getRandom: () => number,
): T | undefined {
    let best = candidates[0];
    for (const candidate of candidates) {
        if (best && candidate.score < best.score) {
            best = candidate;
        }
    }
    if (!best) {
        return undefined;
    }
    const { score, terms } = best;
    const marginMs = Math.max(MIN_MARGIN_MS, MARGIN_SHARE * terms.expectedMs);
    const getWeight = (candidate: T): number =>
        candidate.terms.cacheMs > terms.cacheMs ? 0 : Math.max(0, 1 - (candidate.score - score) / marginMs);
    let left = getRandom() * candidates.reduce((sum, candidate) => sum + getWeight(candidate), 0);
    for (const candidate of candidates) {
        left -= getWeight(candidate);
        if (left < 0) {
            return candidate;
        }
    }
    return best;
}
