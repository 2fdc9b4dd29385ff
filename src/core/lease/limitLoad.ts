import type { LoadState } from "./loadState.js";

/**
 * Lowers the load limit of a target after a response that shows that it cannot handle its load: to the cold limit for
 * `cold`, by half for `busy` but not below the cold limit. A target that is known to be cold says so in every response,
 * so its limit then follows its load reports.
 */
export function limitLoad(
    state: LoadState,
    answer: "cold" | "busy",
    coldLimit: number,
    now: number,
): LoadState {
    if (answer === "cold" && state.report.state === "cold") {
        return state;
    }
    const limit = answer === "cold" ? coldLimit : Math.max(coldLimit, Math.floor(state.bearable / 2));
    return { ...state, bearable: Math.min(state.bearable, limit), limitedAt: now };
}
