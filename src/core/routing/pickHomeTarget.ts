import murmurhash from "murmurhash";

/**
 * Picks one of the targets for a prompt part, so that all instances pick the same one without messages.
 *
 * @remarks Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998.
 */
export function pickHomeTarget(partId: string, targetIds: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const id of targetIds) {
        const weight = murmurhash.v3(`${partId}|${id}`);
        if (weight > bestWeight) {
            bestWeight = weight;
            best = id;
        }
    }
    return best;
}
