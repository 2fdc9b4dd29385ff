/** Result of the attempt that used a slot. */
export interface SlotResult {
    /** Cost of the attempt in tokens, including the tokens charged while the response streamed. */
    readonly cost: number;
    /** `refused`: the target did not start the request; `failed`: no whole response to it arrived. */
    readonly ending: "completed" | "refused" | "failed" | "not-written";
    /** State that the target reported with the response. */
    readonly targetState: "cold" | "warm" | undefined;
}
