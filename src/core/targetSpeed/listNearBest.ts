interface ScoredCandidate {
    readonly score: number;
    readonly terms: { readonly expectedMs: number; readonly networkMs: number; readonly cacheMs: number; };
}

interface WeightedCandidate<T> {
    readonly candidate: T;
    /** Above 0; the best one has 1. */
    readonly weight: number;
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
 * Lists the candidates whose score is close to the lowest, with weights by which one is chosen. A target that is farther away
 * than the best one, or lacks more of a shared prompt, is never chosen in its place.
 */
export function listNearBest<T extends ScoredCandidate>(
    candidates: readonly T[],
): readonly WeightedCandidate<T>[] {
    let best = candidates[0];
    for (const candidate of candidates) {
        if (best && candidate.score < best.score) {
            best = candidate;
        }
    }
    if (!best) {
        return [];
    }
    const { score, terms } = best;
    const marginMs = Math.min(MAX_MARGIN_MS, Math.max(MIN_MARGIN_MS, MARGIN_SHARE * terms.expectedMs));
    const weighted: WeightedCandidate<T>[] = [];
    for (const candidate of candidates) {
        const weight = 1 - (candidate.score - score) / marginMs;
        const { cacheMs, networkMs } = candidate.terms;
        if (weight > 0 && cacheMs <= terms.cacheMs && networkMs <= terms.networkMs) {
            weighted.push({ candidate, weight });
        }
    }
    return weighted;
}
