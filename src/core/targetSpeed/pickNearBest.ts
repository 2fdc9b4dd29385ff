interface ScoredCandidate {
    readonly score: number;
    readonly terms: { readonly expectedMs: number; readonly networkMs: number; readonly cacheMs: number; };
}

/**
 * A candidate that takes longer by this share of the best one's expected time is not chosen. Loads in reports are up to 300 ms
 * old; with half of it, 20 simulated instances at 20 uneven targets had a tenth more mean delay, as more chose the same.
 */
const MARGIN_SHARE = 1;
const MIN_MARGIN_MS = 5;
/** Keeps the choice among long prompts well below the shortest objectives (221 ms). */
const MAX_MARGIN_MS = 100;

/**
 * Picks one of the candidates whose score is close to the lowest, those with lower scores more often. Instances that read the
 * same reports would otherwise all choose the same target until the next reports show its load. A target that is farther away
 * than the best one, or lacks more of a shared prompt, is never chosen in its place.
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
    const marginMs = Math.min(MAX_MARGIN_MS, Math.max(MIN_MARGIN_MS, MARGIN_SHARE * terms.expectedMs));
    const getWeight = (candidate: T): number =>
        candidate.terms.cacheMs > terms.cacheMs || candidate.terms.networkMs > terms.networkMs
            ? 0
            : Math.max(0, 1 - (candidate.score - score) / marginMs);
    let left = getRandom() * candidates.reduce((sum, candidate) => sum + getWeight(candidate), 0);
    for (const candidate of candidates) {
        left -= getWeight(candidate);
        if (left < 0) {
            return candidate;
        }
    }
    return best;
}
