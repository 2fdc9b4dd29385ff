/** Counts of responses since the start of this instance that show reduced capacity of a target. */
export interface TargetAnswers {
    /** Responses with the state `cold`. */
    readonly cold: number;
    /** Refusals of a target that is not cold. */
    readonly busy: number;
}
