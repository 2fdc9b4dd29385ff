/** Results of a fault trial, from comparing the callers' results with the targets' records. */
export interface VerdictCounts {
    readonly requests: number;
    /** Responses presented as complete, or parts of a stream, that differ from the expected response. */
    readonly wrongAnswers: number;
    /** Non-repeatable requests that ran more than once. */
    readonly doubled: number;
    /** Requests without a response, and verified responses that no target has a record of. */
    readonly lost: number;
    /** Requests reported as `not-run`, or without a connection, that a target ran at least in part. */
    readonly falseRefusals: number;
    /** Failures that leave open whether the request was run. */
    readonly unknown: number;
    /** Responses cut short at an instance during its planned stop. */
    readonly cutByPlannedStop: number;
}
