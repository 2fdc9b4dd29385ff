/** What the oracle of a fault trial found. */
export interface VerdictCounts {
    readonly requests: number;
    /** Answers that were presented as complete and are not the caller's own. */
    readonly wrongAnswers: number;
    /** Non-repeatable requests that ran more than once. */
    readonly doubled: number;
    /** Requests without any answer, and verified answers of which no target has a record. */
    readonly lost: number;
    /** Requests reported as `not-run` that a target did run. */
    readonly falseRefusals: number;
    /** Failures that leave open whether the request was run. */
    readonly unknown: number;
    /** Answers that broke off at an instance during its planned stop. */
    readonly cutByPlannedStop: number;
}
