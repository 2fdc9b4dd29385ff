/** How the use of a slot ended. */
export interface SlotResult {
    /** Whole cost of the request in tokens, including what was charged while it streamed. */
    readonly cost: number;
    /** `refused`: the target did not start the request; `failed`: the connection or the answer broke. */
    readonly ending: "completed" | "refused" | "failed" | "not-written";
    /** State that the target reported with the answer. */
    readonly targetState: "cold" | "warm" | undefined;
}
