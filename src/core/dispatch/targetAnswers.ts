/** Answers of one target since the start of this daemon that show that it takes less work. */
export interface TargetAnswers {
    /** Answers with the state `cold`. */
    readonly cold: number;
    /** Refusals of a target that is not cold. */
    readonly busy: number;
}
