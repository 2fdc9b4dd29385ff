import type { TargetCrash } from "./targetCrash.js";

/**
 * Counts crashes whose request was sent after the crash before, so that targets that fail together count once.
 *
 * @param crashes In order of `endedAt`.
 */
export function countCrashes(crashes: readonly TargetCrash[]): number {
    let count = 0;
    let lastEndedAt = Number.NEGATIVE_INFINITY;
    for (const { sentAt, endedAt } of crashes) {
        if (sentAt >= lastEndedAt) {
            count += 1;
            lastEndedAt = endedAt;
        }
    }
    return count;
}
