import type { LoadState } from "./loadState.js";

/**
 * Lowers the bearable limit when an answer of the target shows that it cannot handle its load. A target that is known
 * to be cold says so in every answer; its limit then follows its reports.
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
