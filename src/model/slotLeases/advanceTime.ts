import type { ModelState } from "./modelState.js";

/**
 * Oldest value of each time in ticks, by its member name in the state. The protocol does not distinguish earlier
 * ones: a lease deadline matters until the margin of 1 has passed, an assignment and a report for the term of 1
 * plus the margin.
 */
const OLDEST: Readonly<Record<string, number>> = {
    deadline: -2,
    from: -2,
    reportedAt: -3,
    requestedAt: -1,
    uncertainSince: 0,
    checkedAt: -2,
};

/** Advances the clock by one tick: every time moves one tick into the past. */
export function advanceTime(state: ModelState): ModelState {
    return applyShift(state) as ModelState;
}

function applyShift(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(applyShift);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    return Object.fromEntries(
        Object.entries(value).map(([key, item]) => {
            const oldest = OLDEST[key];
            return typeof item === "number" && oldest !== undefined
                ? [key, Math.max(oldest, item - 1)]
                : [key, applyShift(item)];
        }),
    );
}
